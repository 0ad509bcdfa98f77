// Package logs writes one line of key=value pairs per event, optionally through a
// queue that never blocks the caller.
package logs

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger that writes to w at the given level and above. Values are
// quoted where needed, so that every event stays on one line.
func New(w io.Writer, level zerolog.Level, role, host string) zerolog.Logger {
	return zerolog.New(format(w)).Level(level).With().Timestamp().Str("role", role).Str("host", host).Logger()
}

// setTimeFormat sets the time format of all loggers, which others may be reading already.
var setTimeFormat = sync.OnceFunc(func() { zerolog.TimeFieldFormat = time.RFC3339Nano })

// format returns a writer that converts zerolog's JSON lines to key=value pairs.
func format(w io.Writer) io.Writer {
	setTimeFormat()
	return zerolog.ConsoleWriter{
		Out:           w,
		NoColor:       true,
		PartsOrder:    []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName},
		FormatMessage: func(v any) string { return pair("event", v) },
		FormatLevel:   func(v any) string { return pair("level", v) },
		FormatTimestamp: func(v any) string {
			return pair("time", v)
		},
		FormatFieldName:     func(v any) string { return fmt.Sprint(v) + "=" },
		FormatFieldValue:    func(v any) string { return value(v) },
		FormatErrFieldName:  func(any) string { return "error=" },
		FormatErrFieldValue: func(v any) string { return value(v) },
	}
}

func pair(k string, v any) string {
	if v == nil {
		return k + "="
	}
	return k + "=" + value(v)
}

// value formats one value. It is quoted if it is empty or contains white space, a
// quote or an equals sign.
func value(v any) string {
	var s string
	switch x := v.(type) {
	case string:
		s = x
	case []byte:
		s = string(x)
	default:
		s = fmt.Sprint(x)
	}
	// zerolog passes some values already quoted.
	if u, err := strconv.Unquote(s); err == nil && strings.HasPrefix(s, `"`) {
		s = u
	}
	if s == "" || strings.ContainsAny(s, " \t\r\n\"=") {
		return strconv.Quote(s)
	}
	return s
}
