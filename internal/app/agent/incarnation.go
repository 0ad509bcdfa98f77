package agent

import "fmt"

// backendIncarnation returns the number of the present incarnation of the engine or service,
// which is the number of its ends that this agent has detected.
func (a *Agent) backendIncarnation() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.backendEnds
}

// backendEnded records that an incarnation of the engine or service has ended and returns its
// name, which is the same for all attempts that failed with it.
func (a *Agent) backendEnded(incarnation int) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if incarnation == a.backendEnds {
		a.backendEnds++
		a.cfg.Log.Warn().Int("ends", a.backendEnds).Msg("engine_ended")
	}
	return fmt.Sprintf("%s/%d.%d", a.cfg.Host, a.cfg.Incarnation, incarnation)
}
