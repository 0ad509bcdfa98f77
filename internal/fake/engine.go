// Package fake provides fakes of external systems for tests: a model engine, a plain
// service, a weight store, the platform's host list and a TCP relay with network
// faults. They record what was really executed, so that tests can check guarantees
// against it.
package fake

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/ledger"
	"github.com/cassiapass/cassiapass/internal/core/placement"
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	Memory       int64
	HonoursFence bool
	Store        *Store
	FirstToken   time.Duration
	TokenEvery   time.Duration
}

// EngineFaults are faults that tests inject. A count says how often the fault occurs.
type EngineFaults struct {
	CutAfter    int // bytes after which an answer is cut, while CutAnswers > 0
	CutAnswers  int
	CutQuietly  bool // such a cut has no length or chunks and closes the connection in the ordinary way
	Unframed    int  // answers without length or chunks that are whole
	HangAnswers int  // answers that stall after their first bytes with the connection open
	CrossedIDs  int  // answers that carry another request's id
	FailLoads   int  // loads that are refused
	LostOrders  int  // orders that are executed but whose answer is lost
}

// Engine is a fake model engine with an OpenAI-style interface, load and unload
// orders, fencing, resume and cancel.
type Engine struct {
	cfg EngineConfig

	mu          sync.Mutex
	faults      EngineFaults
	floor       ident.Index
	held        map[ident.Target]*heldModel
	cached      map[ident.Target]placement.Source
	requests    map[string]*answer
	runs        map[string]int // executions by request body
	attempts    map[string]int // executions by attempt id
	overcommits int            // loads refused because they would have exceeded the memory
	peak        int64
	loads       int
	released    chan struct{}
}

type heldModel struct {
	bytes   int64
	loading bool
	fence   ident.Index
}

// answer is the answer to one request while it is generated.
type answer struct {
	mu     sync.Mutex
	status int
	ctype  string
	buf    []byte
	done   bool
	cancel bool
	more   chan struct{}
}

// NewEngine returns an Engine with no models loaded.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{
		cfg: cfg, held: map[ident.Target]*heldModel{}, cached: map[ident.Target]placement.Source{}, requests: map[string]*answer{},
		runs: map[string]int{}, attempts: map[string]int{}, released: make(chan struct{}),
	}
}

// Inject replaces the injected faults.
func (e *Engine) Inject(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Close releases stalled answers.
func (e *Engine) Close() { close(e.released) }

// Cache marks the target's checkpoint as cached at source s, from which it then loads.
func (e *Engine) Cache(t ident.Target, s placement.Source) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cached[t] = s
}

// UnloadAll drops all loaded models, as a restart of the engine would.
func (e *Engine) UnloadAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.held)
}

// Facts is what an engine executed and holds.
type Facts struct {
	Runs       map[string]int // by request body
	Attempts   map[string]int // by attempt id
	Overcommit int
	Peak       int64
	Loads      int
	Held       []ident.Target
}

// Facts returns a snapshot of the engine's counts and loaded models.
func (e *Engine) Facts() Facts {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := Facts{Runs: map[string]int{}, Attempts: map[string]int{}, Overcommit: e.overcommits, Peak: e.peak, Loads: e.loads}
	for k, v := range e.runs {
		f.Runs[k] = v
	}
	for k, v := range e.attempts {
		f.Attempts[k] = v
	}
	for t := range e.held {
		f.Held = append(f.Held, t)
	}
	return f
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", e.complete)
	m.HandleFunc("POST /v1/completions", e.complete)
	m.HandleFunc("GET /v1/requests/{id...}", e.resume)
	m.HandleFunc("DELETE /v1/requests/{id...}", e.cancel)
	m.HandleFunc("POST /admin/floor", e.setFloor)
	m.HandleFunc("POST /admin/load", e.load)
	m.HandleFunc("POST /admin/unload", e.unload)
	m.HandleFunc("GET /admin/models", e.list)
	m.HandleFunc("GET /admin/cached", e.listCached)
	return m
}

type orderBody struct {
	Target ident.Target `json:"target"`
	Bytes  int64        `json:"bytes"`
	Fence  ident.Index  `json:"fence"`
}

func readOrder(w http.ResponseWriter, r *http.Request) (orderBody, bool) {
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func (e *Engine) setFloor(w http.ResponseWriter, r *http.Request) {
	o, ok := readOrder(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.HonoursFence {
		e.floor = max(e.floor, o.Fence)
		// Loads with older fencing tokens are cancelled.
		for t, h := range e.held {
			if h.loading && h.fence < e.floor {
				delete(e.held, t)
			}
		}
	}
}

// load executes a load order. The load takes the time of the checkpoint's source,
// whether the caller waits for it or not.
func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	o, ok := readOrder(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	switch {
	case e.cfg.HonoursFence && o.Fence < e.floor:
		e.mu.Unlock()
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	case e.faults.FailLoads > 0:
		e.faults.FailLoads--
		e.mu.Unlock()
		http.Error(w, "load refused", http.StatusUnprocessableEntity)
		return
	}
	if h := e.held[o.Target]; h != nil && !h.loading {
		e.mu.Unlock()
		return
	}
	if e.used()+o.Bytes > e.cfg.Memory {
		e.overcommits++
		e.mu.Unlock()
		http.Error(w, "out of memory", http.StatusInsufficientStorage)
		return
	}
	h := &heldModel{bytes: o.Bytes, loading: true, fence: o.Fence}
	e.held[o.Target] = h
	e.peak = max(e.peak, e.used())
	e.loads++
	source := e.cached[o.Target]
	e.mu.Unlock()
	e.cfg.Store.Load(source, o.Bytes)
	e.mu.Lock()
	if e.held[o.Target] == h {
		h.loading = false
		e.cached[o.Target] = placement.FromMemory
	}
	e.mu.Unlock()
	e.dropAnswer()
}

func (e *Engine) used() int64 {
	sum := int64(0)
	for _, h := range e.held {
		sum += h.bytes
	}
	return sum
}

// dropAnswer breaks the connection instead of answering if a test injected LostOrders.
func (e *Engine) dropAnswer() {
	e.mu.Lock()
	lost := e.faults.LostOrders > 0
	if lost {
		e.faults.LostOrders--
	}
	e.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	o, ok := readOrder(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	if e.cfg.HonoursFence && o.Fence < e.floor {
		e.mu.Unlock()
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	delete(e.held, o.Target)
	e.mu.Unlock()
	e.dropAnswer()
}

func (e *Engine) list(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	out := []ledger.Held{}
	for t, h := range e.held {
		out = append(out, ledger.Held{Target: t, Bytes: h.bytes, Loading: h.loading})
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

func (e *Engine) listCached(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	out := []placement.CachedAt{}
	for t, s := range e.cached {
		out = append(out, placement.CachedAt{Target: t, Source: s})
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

type completionBody struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

const defaultTokens = 8

// AnswerText returns the tokens of the answer that any engine gives to a request body. They
// depend on the body without its model only, so that a test can tell a caller's own
// answer from another's.
func AnswerText(body []byte, tokens int) []string {
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) == nil {
		delete(fields, "model")
		body, _ = json.Marshal(fields)
	}
	sum := sha256.Sum256(body)
	h := hex.EncodeToString(sum[:])
	out := make([]string, tokens)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%d ", h[i%16:i%16+8], i)
	}
	return out
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if b.MaxTokens == 0 {
		b.MaxTokens = defaultTokens
	}
	t, err := ident.ParseTarget(b.Model)
	if err != nil || !e.hasLoaded(t) {
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "model not loaded"})
		return
	}
	a := &answer{status: http.StatusOK, ctype: "application/json", more: make(chan struct{})}
	if b.Stream {
		a.ctype = "text/event-stream"
	}
	e.mu.Lock()
	e.requests[id] = a
	e.runs[string(body)]++
	e.attempts[id]++
	e.mu.Unlock()
	go e.generate(a, b, body)
	e.send(w, r, id, a, 0)
}

func (e *Engine) hasLoaded(t ident.Target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.held[t]
	return h != nil && !h.loading
}

// generate writes the answer token by token.
func (e *Engine) generate(a *answer, b completionBody, body []byte) {
	time.Sleep(e.cfg.FirstToken)
	tokens := AnswerText(body, b.MaxTokens)
	for i, tok := range tokens {
		if i > 0 && e.cfg.TokenEvery > 0 {
			time.Sleep(e.cfg.TokenEvery)
		}
		if b.Stream {
			a.appendText(fmt.Sprintf("data: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", tok), false)
		}
		if a.cancelled() {
			return
		}
	}
	if b.Stream {
		a.appendText("data: [DONE]\n\n", true)
		return
	}
	text, _ := json.Marshal(strings.Join(tokens, ""))
	a.appendText(fmt.Sprintf("{\"object\":\"chat.completion\",\"model\":%q,\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":%s},\"finish_reason\":\"stop\"}]}", b.Model, text), true)
}

func (a *answer) appendText(s string, done bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.buf = append(a.buf, s...)
	a.done = done
	close(a.more)
	a.more = make(chan struct{})
}

func (a *answer) cancelled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cancel
}

// next returns the bytes from offset on, whether the answer is complete, and a channel
// that is closed when there is more.
func (a *answer) next(offset int) ([]byte, bool, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if offset > len(a.buf) {
		return nil, true, a.more
	}
	return a.buf[offset:], a.done, a.more
}

// send writes an answer from offset on, with the injected faults.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, id string, a *answer, offset int) {
	f := e.nextFaults()
	cut, hang := f.cut, f.hang
	if f.crossed {
		id = "somebody-else/1"
	}
	if f.unframed {
		sendUnframed(w, id, a, offset, cut)
		return
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Content-Type", a.ctype)
	w.WriteHeader(a.status)
	sent := 0
	for {
		p, done, grown := a.next(offset)
		if cut > 0 && sent+len(p) > cut {
			_, _ = w.Write(p[:max(0, cut-sent)])
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(p); err != nil {
			return
		}
		offset += len(p)
		sent += len(p)
		w.(http.Flusher).Flush()
		if done {
			return
		}
		if hang && sent > 0 {
			select {
			case <-e.released:
			case <-r.Context().Done():
			}
			return
		}
		select {
		case <-grown:
		case <-r.Context().Done():
			return
		}
	}
}

// sendUnframed writes an answer, or its first bytes if cut is set, and ends it by closing the
// connection.
func sendUnframed(w http.ResponseWriter, id string, a *answer, offset, cut int) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	p, done, grown := a.next(offset)
	for !done && (cut == 0 || len(p) < cut) {
		<-grown
		p, done, grown = a.next(offset)
	}
	if cut > 0 {
		p = p[:min(cut, len(p))]
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nContent-Type: %s\r\n\r\n%s", a.status, id, a.ctype, p)
}

// answerFaults are the faults of one answer.
type answerFaults struct {
	cut                     int // bytes after which it is cut; 0 if it is not
	hang, crossed, unframed bool
}

func (e *Engine) nextFaults() answerFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	var f answerFaults
	if e.faults.CutAnswers > 0 {
		e.faults.CutAnswers--
		f.cut, f.unframed = e.faults.CutAfter, e.faults.CutQuietly
	}
	if e.faults.Unframed > 0 {
		e.faults.Unframed--
		f.unframed = true
	}
	if e.faults.HangAnswers > 0 {
		e.faults.HangAnswers--
		f.hang = true
	}
	if e.faults.CrossedIDs > 0 {
		e.faults.CrossedIDs--
		f.crossed = true
	}
	return f
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	offset, _ := strconv.Atoi(r.URL.Query().Get("offset"))
	e.mu.Lock()
	a, ok := e.requests[id]
	e.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	e.send(w, r, id, a, offset)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	a, ok := e.requests[r.PathValue("id")]
	e.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	a.mu.Lock()
	a.cancel = true
	a.mu.Unlock()
}
