package ending

import "bytes"

// Events follows the bytes of an event stream and tells whether it ends between two events. Lines end
// with LF, CR or CRLF, and an empty line ends an event. The zero value is ready for use.
type Events struct {
	inEvent   bool // bytes have come since the last empty line
	inLine    bool // the present line is not empty
	afterCR   bool // an LF that comes next belongs to the line break before it
	usesCRLF  bool // such an LF has come
	completed int
}

// Write takes the next bytes of the stream.
func (e *Events) Write(b []byte) {
	for len(b) > 0 {
		if i := bytes.IndexAny(b, "\r\n"); i != 0 {
			e.inEvent, e.inLine, e.afterCR = true, true, false
			if i < 0 {
				return
			}
			b = b[i:]
		}
		e.lineBreak(b[0])
		b = b[1:]
	}
}

func (e *Events) lineBreak(c byte) {
	if c == '\n' && e.afterCR {
		e.afterCR, e.usesCRLF = false, true
		return
	}
	e.afterCR = c == '\r'
	if !e.inLine && e.inEvent {
		e.completed++
	}
	e.inEvent, e.inLine = e.inLine, false
}

// Completed returns how many events have ended.
func (e *Events) Completed() int { return e.completed }

// Content returns Unfinished within an event or its last line break, else Opaque: more events may be
// missing.
func (e *Events) Content() Content {
	if e.inEvent || e.usesCRLF && e.afterCR {
		return Unfinished
	}
	return Opaque
}
