package gateway

import "github.com/cassiapass/cassiapass/internal/core/feature"

// enabled reports whether an optional part is in use.
func (g *Gateway) enabled(n feature.Name) bool {
	d := feature.Deployment{Pressure: g.cfg.Pressure, SharedHosts: g.dir.onSharedHosts()}
	if t := g.table.Load(); t != nil {
		d.Backups, d.Moves = t.Config().RunCopies()
	}
	return g.cfg.Features.Enabled(n, d)
}

// onSharedHosts reports whether an endpoint has told how fast its host is at the moment.
func (d *directory) onSharedHosts() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sharedHosts
}
