package gateway

import (
	"encoding/json"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// news is what an answer holds in encoded form.
type news struct {
	dep     *state.Deployment // nil if it is as before
	running map[fleet.EndpointID]int
}

// unpack puts packed endpoints in the place of unpacked ones and returns the rest of
// what is encoded.
func unpack(r *wire.PullResult) (news, error) {
	var n news
	if len(r.Packed) > 0 {
		var eps []fleet.Endpoint
		if err := wire.Unpack(r.Packed, &eps); err != nil {
			return n, err
		}
		r.Endpoints = &eps
	}
	if len(r.Running) > 0 {
		if err := json.Unmarshal(r.Running, &n.running); err != nil {
			return n, err
		}
	}
	if len(r.Deployment) == 0 {
		return n, nil
	}
	n.dep = &state.Deployment{}
	return n, wire.Unpack(r.Deployment, n.dep)
}
