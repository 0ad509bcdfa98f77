package controller

import (
	"maps"

	"github.com/cassiapass/cassiapass/internal/core/feature"
)

// enabled reports whether an optional part is in use.
func (c *Controller) enabled(n feature.Name) bool {
	d := feature.Deployment{Pressure: c.cfg.Pressure, SharedHosts: c.sharedHosts}
	d.Backups, d.Moves = c.deployed.RunCopies()
	return c.cfg.Features.Enabled(n, d)
}

// logFeatures logs which optional parts are in use, when that changes.
func (c *Controller) logFeatures() {
	inUse := map[feature.Name]bool{}
	for _, n := range feature.Names() {
		inUse[n] = c.enabled(n)
	}
	if maps.Equal(inUse, c.featuresLogged) {
		return
	}
	c.featuresLogged = inUse
	e := c.cfg.Log.Info()
	for _, n := range feature.Names() {
		e = e.Bool(string(n), inUse[n])
	}
	e.Msg("features_in_use")
}
