package state

import (
	"testing"

	"github.com/matryer/is"
)

func TestDeploymentKeepsTheHighestVersion(t *testing.T) {
	cases := []struct {
		name    string
		send    Deploy
		want    Code
		resent  bool
		inForce uint64
	}{
		{"first", Deploy{3, "a"}, OK, false, 3},
		{"resent", Deploy{3, "a"}, OK, true, 3},
		{"same version, other content", Deploy{3, "b"}, Conflict, false, 3},
		{"overtaken", Deploy{2, "z"}, OK, true, 3},
		{"higher", Deploy{7, "c"}, OK, false, 7},
		{"older one arrives again", Deploy{3, "a"}, OK, true, 7},
	}
	is := is.New(t)
	s := New()
	for i, tc := range cases {
		_, known := s.Deployed(tc.send)
		is.Equal(known, tc.resent || tc.want == Conflict) // only a new version needs a decision
		res, _ := s.Apply(s.Index()+1, Command{By: "op", Deploy: &cases[i].send})
		is.Equal(res.Code, tc.want)
		is.Equal(res.Resent, tc.resent)
		is.Equal(s.Deployment().Version, tc.inForce)
	}
	is.Equal(s.Deployment().Text, "c")
}

// Symptom: after a restart from a snapshot the deployment is gone.
// Sequence: deploy, snapshot, decode.
// Cause: a part of the state that is left out of its encoded form.
func TestDeploymentSurvivesASnapshot(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Apply(1, Command{Deploy: &Deploy{5, "text"}})
	data, err := s.Clone().Encode()
	is.NoErr(err)
	back, err := Decode(data)
	is.NoErr(err)
	is.Equal(back.Deployment(), s.Deployment())
}
