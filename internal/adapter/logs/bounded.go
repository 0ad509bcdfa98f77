package logs

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond is what ordinary successes may write. A line costs some
	// 8 us of processor to make and format (BenchmarkLine), so 200 a second
	// stay under two thousandths of a core; the busiest entry seen wrote 60.
	linesPerSecond = 200
	linesBurst     = 400
	// queued is how many lines may wait for a reader that is slow. At some
	// 400 bytes a line this is under 1 MB.
	queued = 2048
	// reserved is the part of the queue that only other lines than ordinary
	// successes may fill.
	reserved    = queued / 2
	reportEvery = time.Second
	closeWait   = 200 * time.Millisecond
)

// ordinary are the events of requests that went well: the first to be left out
// when there are too many lines.
var ordinary = [][]byte{
	[]byte(`"message":"request_answered"}` + "\n"),
	[]byte(`"message":"request_sent"}` + "\n"),
}

// Bounded hands lines to a writer without ever waiting for it. Symptom without
// it: a reader of standard output that stops reading stops every request of the
// process, because each writes a line.
type Bounded struct {
	out    io.Writer
	limit  *rate.Limiter
	queue  chan []byte
	closed chan struct{}
	done   chan struct{}

	droppedOrdinary atomic.Uint64
	droppedOthers   atomic.Uint64
}

// NewBounded returns a logger like New's whose lines go through a Bounded.
func NewBounded(w io.Writer, level zerolog.Level, role, host string) (zerolog.Logger, *Bounded) {
	b := &Bounded{
		out: format(w), limit: rate.NewLimiter(linesPerSecond, linesBurst), queue: make(chan []byte, queued),
		closed: make(chan struct{}), done: make(chan struct{}),
	}
	log := zerolog.New(b).Level(level).With().Timestamp().Str("role", role).Str("host", host).Logger()
	go b.run(log)
	return log, b
}

// Write implements io.Writer. It never fails and never blocks.
func (b *Bounded) Write(p []byte) (int, error) {
	if isOrdinary(p) && (len(b.queue) >= queued-reserved || !b.limit.Allow()) {
		b.droppedOrdinary.Add(1)
		return len(p), nil
	}
	select {
	case b.queue <- bytes.Clone(p):
	default:
		b.droppedOthers.Add(1)
	}
	return len(p), nil
}

func isOrdinary(p []byte) bool {
	for _, o := range ordinary {
		if bytes.HasSuffix(p, o) {
			return true
		}
	}
	return false
}

// Dropped returns how many lines were left out: ordinary successes and others.
func (b *Bounded) Dropped() (ordinary, others uint64) {
	return b.droppedOrdinary.Load(), b.droppedOthers.Load()
}

// Count adds the lines left out to a set of metrics.
func (b *Bounded) Count(s *vm.Set) {
	s.NewGauge(`cassiapass_log_lines_dropped_total{kind="ordinary"}`, func() float64 { return float64(b.droppedOrdinary.Load()) })
	s.NewGauge(`cassiapass_log_lines_dropped_total{kind="others"}`, func() float64 { return float64(b.droppedOthers.Load()) })
}

// run writes lines, and tells once a second how many were left out.
func (b *Bounded) run(log zerolog.Logger) {
	defer close(b.done)
	t := time.NewTicker(reportEvery)
	defer t.Stop()
	var toldOrdinary, toldOthers uint64
	for {
		select {
		case line := <-b.queue:
			b.put(line)
		case <-t.C:
			o, n := b.Dropped()
			if o != toldOrdinary || n != toldOthers {
				log.Warn().Uint64("ordinary", o-toldOrdinary).Uint64("others", n-toldOthers).Msg("log_lines_dropped")
				toldOrdinary, toldOthers = o, n
			}
		case <-b.closed:
			for len(b.queue) > 0 {
				b.put(<-b.queue)
			}
			return
		}
	}
}

func (b *Bounded) put(line []byte) {
	// A reader that is gone costs lines; there is nobody left to tell.
	_, _ = b.out.Write(line)
}

// Close writes what waits, for a short time.
func (b *Bounded) Close() {
	close(b.closed)
	select {
	case <-b.done:
	case <-time.After(closeWait):
	}
}
