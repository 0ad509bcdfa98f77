package agent

import "sync"

// tasks are goroutines that can be waited for while others try to start more: calls still
// arrive while an agent ends. A sync.WaitGroup alone does not allow that.
type tasks struct {
	mu    sync.Mutex
	wg    sync.WaitGroup
	ended bool
}

// start runs f in a goroutine of its own, unless the tasks have ended.
func (t *tasks) start(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ended {
		t.wg.Go(f)
	}
}

// end lets no more goroutines start, and waits for the others.
func (t *tasks) end() {
	t.mu.Lock()
	t.ended = true
	t.mu.Unlock()
	t.wg.Wait()
}
