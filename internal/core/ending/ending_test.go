package ending

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestJudge(t *testing.T) {
	for name, c := range map[string]struct {
		a    Answer
		want Verdict
	}{
		"a length or last chunk":                {Answer{Framed: true}, Whole},
		"an end mark without framing":           {Answer{Content: Finished, Process: Gone}, Whole},
		"a reset":                               {Answer{Failed: true, Framed: true}, BrokenOff},
		"a last chunk within an event":          {Answer{Framed: true, Content: Unfinished}, BrokenOff},
		"within an event, the process lives":    {Answer{Content: Unfinished, Process: Alive}, BrokenOff},
		"the process is gone":                   {Answer{Process: Gone}, BrokenOff},
		"the process is gone, as planned":       {Answer{Process: Gone, Leaving: true}, Unknown},
		"the process lives":                     {Answer{Process: Alive}, Unknown},
		"it lives, other answers broke":         {Answer{Process: Alive, OthersBroke: true}, Unknown},
		"no check, other answers broke":         {Answer{OthersBroke: true}, BrokenOff},
		"others broke, it leaves as planned":    {Answer{OthersBroke: true, Leaving: true}, Unknown},
		"nobody could check":                    {Answer{}, Unknown},
		"within an event, it leaves as planned": {Answer{Content: Unfinished, Leaving: true}, BrokenOff},
	} {
		if got := Judge(c.a); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a stream that is cut within the line breaks of an event and taken for one that
// ended between two.
func TestEventsEndBetweenEventsOnly(t *testing.T) {
	for _, c := range []struct {
		in    string
		n     int
		whole bool
	}{
		{"", 0, true},
		{"i", 0, false},
		{"id: 1\ndata: x\n", 0, false},
		{"id: 1\ndata: x\n\n", 1, true},
		{"id: 1\r\ndata: x\r\n\r", 1, false}, // the LF is missing where CRLF was used
		{"id: 1\r\ndata: x\r\n\r\n", 1, true},
		{"id: 1\r\rid: 2\r\r", 2, true},
		{"id: 1\n\n: comment\n", 1, false},
		{"id: 1\n\n: comment\n\n", 2, true},
		{"id: 1\n\ndata: a\ndata: b\n", 1, false},
		{"id: 1\n\n\n\n", 1, true},
		{"\n\nid: 1\n\n", 1, true},
	} {
		for size := 1; size <= 3; size++ { // however the bytes arrive
			is := is.New(t)
			var e Events
			for rest := c.in; rest != ""; {
				n := min(size, len(rest))
				e.Write([]byte(rest[:n]))
				rest = rest[n:]
			}
			is.Equal(e.Completed(), c.n)
			is.Equal(e.Content() == Opaque, c.whole)
		}
	}
	var e Events
	e.Write([]byte(strings.Repeat("id: 1\n\n", 1000)))
	if e.Completed() != 1000 {
		t.Error(e.Completed())
	}
}
