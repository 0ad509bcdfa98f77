package keepalive

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

// line is one target in the encoded History.
type line struct {
	Target ident.Target `json:"target"`
	Stats  Stats        `json:"stats"`
}

// MarshalJSON writes the history as a list ordered by target.
func (h *History) MarshalJSON() ([]byte, error) {
	lines := make([]line, 0, len(h.stats))
	for t, st := range h.stats {
		lines = append(lines, line{t, st})
	}
	slices.SortFunc(lines, func(a, b line) int { return strings.Compare(a.Target.String(), b.Target.String()) })
	return json.Marshal(lines)
}

// UnmarshalJSON reads the list that MarshalJSON writes.
func (h *History) UnmarshalJSON(b []byte) error {
	var lines []line
	if err := json.Unmarshal(b, &lines); err != nil {
		return err
	}
	h.stats = make(map[ident.Target]Stats, len(lines))
	for _, l := range lines {
		h.stats[l.Target] = l.Stats
	}
	return nil
}
