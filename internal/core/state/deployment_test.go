package state

import (
	"encoding/json"
	"fmt"
	"strings"
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

// Symptom: a change of 0.75 MB takes 5.5 MB of the leader's link, half a second's worth.
// Cause: its text, which repeats itself, was written to the log as it is.
func TestLongTextsArePackedInTheLog(t *testing.T) {
	is := is.New(t)
	var routes strings.Builder
	for i := range 4200 {
		fmt.Fprintf(&routes, `{"name":"r%04d-%x","host":"%x.example","path":"/%x/","timeoutMs":4000,"attempts":2},`, i, i*i*7919, i*104729, i*i*31)
	}
	for _, text := range []string{"", "short", "short and \"quoted\"\n", routes.String()} {
		data, err := json.Marshal(Command{Deploy: &Deploy{7, text}})
		is.NoErr(err)
		var back Command
		is.NoErr(json.Unmarshal(data, &back))
		is.Equal(*back.Deploy, Deploy{7, text})
		if len(text) > packFrom {
			is.True(len(data) < len(text)/3) // with what its writing as JSON adds
		}
	}
}

// Symptom: a host with a log of an earlier release has no deployment, or does not start.
func TestTextsThatWereNotPackedAreRead(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("x", 2*packFrom)
	var c Command
	is.NoErr(json.Unmarshal([]byte(`{"deploy":{"version":3,"text":"`+long+`"}}`), &c))
	is.Equal(*c.Deploy, Deploy{3, long})
	for _, damaged := range []string{`{"gzip":"AAAA"}`, `{"gzip":""}`, `{}`, `17`, `["a"]`} { // an error, not an empty text
		is.True(json.Unmarshal([]byte(`{"deploy":{"version":3,"text":`+damaged+`}}`), &c) != nil)
	}
	is.True(json.Unmarshal([]byte(`{"deploy":{"version":3}}`), &c) != nil)
}

// Symptom: in a group of two releases an empty configuration is decided and acknowledged.
// Sequence: a host of a newer release writes a packed text, one of an older reads it.
func TestReleaseWithoutPackedTextsRefusesThem(t *testing.T) {
	is := is.New(t)
	data, err := json.Marshal(Command{Deploy: &Deploy{3, strings.Repeat("x", 2*packFrom)}})
	is.NoErr(err)
	var older struct {
		Deploy *struct {
			Version uint64 `json:"version"`
			Text    string `json:"text"`
		} `json:"deploy"`
	}
	is.True(json.Unmarshal(data, &older) != nil)
}
