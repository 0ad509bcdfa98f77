package http1

import "bytes"

// HeadCheck checks the head of one response line by line.
type HeadCheck struct {
	begun  bool // the status line has been checked
	done   bool
	minor  byte
	status int
	f      framing
}

// Done reports whether the head has ended.
func (h *HeadCheck) Done() bool { return h.done }

// Informational reports whether the head is one before the final response.
func (h *HeadCheck) Informational() bool { return h.status < 200 }

// Lines checks the whole lines at the start of b, up to the end of the head, and returns their length. With
// an error it is that of the lines before the malformed one.
func (h *HeadCheck) Lines(b []byte) (int, error) {
	checked := 0
	for !h.done {
		n := bytes.IndexByte(b[checked:], '\n')
		if n < 0 {
			break
		}
		if err := h.line(b[checked : checked+n]); err != nil {
			return checked, err
		}
		checked += n + 1
	}
	return checked, nil
}

// line checks a line without its line feed.
func (h *HeadCheck) line(b []byte) error {
	b, found := bytes.CutSuffix(b, []byte{'\r'})
	switch {
	case !found:
		return malformedHead("a line of the header ends in another way than CR LF")
	case !h.begun:
		h.begun = true
		return h.statusLine(b)
	case len(b) == 0:
		h.done = true
		return h.f.check(h.minor)
	}
	name, value, err := cutField(b)
	if err != nil {
		return err
	}
	return h.f.add(name, value)
}

// errNoStatus means that an endpoint's answer has no status line that HTTP knows.
var errNoStatus = malformedHead("the answer has no valid status line")

// statusLine checks a status line of HTTP/1. Endpoints are asked for no other protocol, so that none may
// switch to one.
func (h *HeadCheck) statusLine(b []byte) error {
	const version, prefix = "HTTP/1.", "HTTP/1.1 200"
	if len(b) < len(prefix) || string(b[:len(version)]) != version || b[8] != ' ' || !all(b, inValue) {
		return errNoStatus
	}
	if h.minor = b[7]; h.minor < '0' || h.minor > '9' {
		return errNoStatus
	}
	for _, digit := range b[9:len(prefix)] {
		if digit < '0' || digit > '9' {
			return errNoStatus
		}
		h.status = 10*h.status + int(digit-'0')
	}
	if !ValidStatus(h.status) || len(b) > len(prefix) && b[len(prefix)] != ' ' {
		return errNoStatus
	}
	return nil
}

// ValidStatus reports whether a response may have a status.
func ValidStatus(status int) bool {
	const switchingProtocols = 101
	return status >= 100 && status <= 599 && status != switchingProtocols
}

// ValidFieldName reports whether a field may have a name.
func ValidFieldName(name string) bool { return name != "" && all([]byte(name), inName) }
