package gateway

import (
	"strconv"
	"sync"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

// maxUnknownNames bounds the names of unknown fields that are counted one by one.
const maxUnknownNames = 64

// unknownFields records the names of fields of endpoints' answers that nothing here reads: an
// endpoint may state in a new field what this process should keep to.
type unknownFields struct {
	mu    sync.Mutex
	names map[string]bool
}

// record counts fields, and logs each name once in the life of this process.
func (u *unknownFields) record(g *Gateway, e fleet.EndpointID, names []string) {
	for _, name := range names {
		label, first := u.label(name)
		g.metrics.set.GetOrCreateCounter(`cassiapass_gateway_unknown_fields_total{name=` + strconv.Quote(label) + `}`).Inc()
		if first {
			g.cfg.Log.Warn().Str("endpoint", string(e)).Str("name", name).Msg("endpoint_field_unknown")
		}
	}
}

// label returns the label of a name, "other" beyond maxUnknownNames, and whether the name is new.
func (u *unknownFields) label(name string) (string, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.names[name] {
		return name, false
	}
	if len(u.names) >= maxUnknownNames {
		return "other", false
	}
	if u.names == nil {
		u.names = map[string]bool{}
	}
	u.names[name] = true
	return name, true
}
