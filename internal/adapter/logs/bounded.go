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
	// linesPerSecond limits the lines about ordinary successes. A line costs about
	// 8 us of processor time to build and format (BenchmarkLine), so 200 a second
	// use less than two thousandths of a core; the busiest entry measured wrote 60.
	linesPerSecond = 200
	linesBurst     = 400
	// queueSize is how many lines may wait for a slow reader. At about 400 bytes
	// a line this is under 1 MB.
	queueSize = 2048
	// reserved is the part of the queue that lines about ordinary successes may
	// not use.
	reserved = queueSize / 2
	// queueBytes bounds the lines that wait, which hold what clients send: ids and names of models.
	queueBytes  = 4 << 20
	reportEvery = time.Second
	closeWait   = 200 * time.Millisecond
)

// ordinary lists the endings of lines about successful requests. These lines are the
// first to be dropped when there are too many.
var ordinary = [][]byte{
	[]byte(`"message":"request_answered"}` + "\n"),
	[]byte(`"message":"request_sent"}` + "\n"),
}

// Bounded is an io.Writer that queues lines for another writer and never blocks.
// Without it, a reader of standard output that stops reading would block every
// request of the process, because each request writes a line.
type Bounded struct {
	out    io.Writer
	limit  *rate.Limiter
	queue  chan []byte
	queued atomic.Int64 // bytes in queue
	closed chan struct{}
	done   chan struct{}

	droppedOrdinary atomic.Uint64
	droppedOthers   atomic.Uint64
}

// NewBounded returns a logger like that of New whose lines pass through a Bounded.
func NewBounded(w io.Writer, level zerolog.Level, role, host string) (zerolog.Logger, *Bounded) {
	b := &Bounded{
		out: format(w), limit: rate.NewLimiter(linesPerSecond, linesBurst), queue: make(chan []byte, queueSize),
		closed: make(chan struct{}), done: make(chan struct{}),
	}
	log := zerolog.New(b).Level(level).With().Timestamp().Str("role", role).Str("host", host).Logger()
	go b.run(log)
	return log, b
}

// Write implements io.Writer. It never fails and never blocks.
func (b *Bounded) Write(p []byte) (int, error) {
	if isOrdinary(p) && (len(b.queue) >= queueSize-reserved || !b.limit.Allow()) {
		b.droppedOrdinary.Add(1)
		return len(p), nil
	}
	if b.queued.Add(int64(len(p))) > queueBytes {
		b.queued.Add(-int64(len(p)))
		b.droppedOthers.Add(1)
		return len(p), nil
	}
	select {
	case b.queue <- bytes.Clone(p):
	default:
		b.queued.Add(-int64(len(p)))
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

// Dropped returns the number of dropped lines: ordinary successes and others.
func (b *Bounded) Dropped() (ordinary, others uint64) {
	return b.droppedOrdinary.Load(), b.droppedOthers.Load()
}

// RegisterMetrics adds the numbers of dropped lines to a set of metrics.
func (b *Bounded) RegisterMetrics(s *vm.Set) {
	s.NewGauge(`cassiapass_log_lines_dropped_total{kind="ordinary"}`, func() float64 { return float64(b.droppedOrdinary.Load()) })
	s.NewGauge(`cassiapass_log_lines_dropped_total{kind="others"}`, func() float64 { return float64(b.droppedOthers.Load()) })
}

// run writes queued lines and logs once a second how many were dropped.
func (b *Bounded) run(log zerolog.Logger) {
	defer close(b.done)
	t := time.NewTicker(reportEvery)
	defer t.Stop()
	var reportedOrdinary, reportedOthers uint64
	for {
		select {
		case line := <-b.queue:
			b.put(line)
		case <-t.C:
			o, n := b.Dropped()
			if o != reportedOrdinary || n != reportedOthers {
				log.Warn().Uint64("ordinary", o-reportedOrdinary).Uint64("others", n-reportedOthers).Msg("log_lines_dropped")
				reportedOrdinary, reportedOthers = o, n
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
	b.queued.Add(-int64(len(line)))
	// If the reader is gone, the line is lost; there is nowhere to report the error.
	_, _ = b.out.Write(line)
}

// Close writes the queued lines, for at most closeWait.
func (b *Bounded) Close() {
	close(b.closed)
	select {
	case <-b.done:
	case <-time.After(closeWait):
	}
}
