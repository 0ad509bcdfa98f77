package daemon

import (
	"bytes"
	"io"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/adapter/settings"
)

// A daemon that is started without its settings must write the errors to standard error: a
// service manager that keeps only standard error would not show why it did not start.
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
			is.True(out.Len() > 0) // help that was requested goes to standard output
		})
	}
}
