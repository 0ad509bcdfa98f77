package gateway

import (
	"encoding/json"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// pullUpdate holds what the answer to a pull contains in encoded form.
type pullUpdate struct {
	deployment *state.Deployment // nil if unchanged
	running    map[fleet.EndpointID]int
}

// decodeUpdate replaces compressed endpoints in r by decoded ones and returns the other
// parts that are encoded.
func decodeUpdate(r *wire.PullResult) (pullUpdate, error) {
	var n pullUpdate
	if len(r.Packed) > 0 {
		var eps []fleet.Endpoint
		if err := wire.Decompress(r.Packed, &eps); err != nil {
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
	n.deployment = &state.Deployment{}
	return n, wire.Decompress(r.Deployment, n.deployment)
}
