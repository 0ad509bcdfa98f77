package daemon

import (
	"bytes"
	"io"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/adapter/settings"
)

// Symptom: a service manager that keeps standard error shows nothing of why a
// daemon did not start.
// Sequence: a daemon is started without its settings.
// Cause: the mistakes were written to standard output.
func TestUsageErrorsGoToStandardError(t *testing.T) {
	for name, run := range map[string]func([]string, io.Writer, io.Writer) (int, error){"entry": Entry, "agent": Agent, "control": Control} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, args := range [][]string{nil, {"--no-such-flag"}} {
				var out, errs bytes.Buffer
				code, err := run(args, &out, &errs)
				is.NoErr(err)
				is.Equal(code, settings.ExitUsage)
				is.Equal(out.Len(), 0)
				is.True(errs.Len() > 0)
			}
			var out, errs bytes.Buffer
			code, err := run([]string{"--help"}, &out, &errs)
			is.NoErr(err)
			is.Equal(code, 0)
			is.True(out.Len() > 0) // what was asked for goes to standard output
		})
	}
}
