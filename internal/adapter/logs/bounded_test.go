package logs

import (
	"bytes"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// If standard output is a pipe whose reader stopped reading, lines must be dropped. A
// write that waits for the pipe would block every request.
func TestFullPipeDropsLinesWithoutBlocking(t *testing.T) {
	is := is.New(t)
	r, w, err := os.Pipe()
	is.NoErr(err)
	defer r.Close()
	defer w.Close()
	log, b := NewBounded(w, zerolog.InfoLevel, "entry", "h")
	begin := time.Now()
	for range 50000 {
		log.Info().Str("request", "r").Msg("request_answered")
	}
	is.True(time.Since(begin) < 2*time.Second)
	dropped, _ := b.Dropped()
	is.True(dropped > 40000)
}

// Guards against memory that lines with long names of clients take while their reader is slow.
func TestLongLinesTakeBoundedMemory(t *testing.T) {
	is := is.New(t)
	r, w, err := os.Pipe()
	is.NoErr(err)
	defer r.Close()
	defer w.Close()
	log, b := NewBounded(w, zerolog.InfoLevel, "entry", "h")
	id := strings.Repeat("r", 16<<10)
	for range 2 * queueSize {
		log.Warn().Str("request", id).Msg("request_not_run")
	}
	is.True(len(b.queue)*len(id) <= 4<<20)
	_, dropped := b.Dropped()
	is.True(dropped > 0)
}

type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// At ten times the usual rate of successes every failure must still be logged. If lines
// are dropped regardless of their event, the reason for a failure is missing.
func TestFailuresAreKeptAtTenTimesTheRate(t *testing.T) {
	is := is.New(t)
	var out safeBuffer
	log, b := NewBounded(&out, zerolog.InfoLevel, "entry", "h")
	const failures = 300
	for i := range 20 * failures {
		if i%20 == 0 {
			log.Warn().Int("n", i).Msg("request_unknown")
			time.Sleep(time.Millisecond)
			continue
		}
		log.Info().Int("n", i).Msg("request_answered")
	}
	time.Sleep(reportEvery + 300*time.Millisecond)
	b.Close()
	is.Equal(strings.Count(out.String(), "event=request_unknown"), failures)
	ordinary, others := b.Dropped()
	is.True(ordinary > 0)
	is.Equal(others, uint64(0))
	is.True(strings.Contains(out.String(), "event=log_lines_dropped")) // and the drops are reported
}

func BenchmarkLine(b *testing.B) {
	log, s := NewBounded(io.Discard, zerolog.InfoLevel, "entry", "h")
	defer s.Close()
	b.ReportAllocs()
	for b.Loop() {
		log.Warn().Str("request", "9c41d07be2a35f68").Str("endpoint", "i-7f3a91c2").Int("status", 200).Dur("took", time.Second).Msg("request_refused")
		for len(s.queue) > queueSize/2 {
			time.Sleep(10 * time.Microsecond)
		}
	}
}
