package gateway

import (
	"errors"
	"strconv"
)

// errEventMissing means that a run that went on did not do so with the next event.
var errEventMissing = errors.New("an event is missing where the run went on")

// eventOrder follows the ids of a stream's events. Where they count up by one, the run must go on with
// the next one.
type eventOrder struct {
	first, last int64
	events      int64
	unknown     bool // an id is not a number
}

// next takes the id of an event that is forwarded, and reports whether events before it are missing.
// That is known once two events or more show how the ids count.
func (o *eventOrder) next(id string) (missing bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		o.unknown = true
	}
	if o.unknown {
		return false
	}
	missing = o.events > 1 && o.last-o.first == o.events-1 && n != o.last+1
	if o.events == 0 {
		o.first = n
	}
	o.last = n
	o.events++
	return missing
}
