package agent

import "fmt"

// backendStart returns the number of the engine's or service's present start, as far as this
// agent noticed ends.
func (a *Agent) backendStart() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.backendEnds
}

// backendEnded notes that a start of the engine or service has ended, and returns its name:
// the same for all attempts that ran there and broke off with it.
func (a *Agent) backendEnded(start int) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if start == a.backendEnds {
		a.backendEnds++
		a.cfg.Log.Warn().Int("ends", a.backendEnds).Msg("engine_ended")
	}
	return fmt.Sprintf("%s/%d.%d", a.cfg.Host, a.cfg.Incarnation, start)
}
