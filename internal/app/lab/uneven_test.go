package lab

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against engines of unequal speed that get equal parts of the work, and hold models whose
// callers wait least as often as others.
func TestUnevenEngines(t *testing.T) {
	is := is.New(t)
	late := map[string]float64{}
	for _, p := range selectPolicies("choice-load,finish-placing") {
		s := Uneven(1)
		s.Duration = 15 * time.Second
		late[p.Name] = 1 - Compare(s, p, 1).InTime["chat"]
	}
	t.Log("share of chats late:", late)
	is.True(late["finish-placing"] < 0.75*late["choice-load"])
}
