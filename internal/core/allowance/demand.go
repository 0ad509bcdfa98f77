package allowance

import (
	"math"
	"time"
)

// demand is an exponentially decaying average of the units asked for.
type demand struct {
	perSecond float64
	at        time.Time
}

func (d *demand) add(now time.Time, units float64, decay time.Duration) {
	d.perSecond = d.rate(now, decay) + units/decay.Seconds()
	d.at = now
}

// rate returns the units a second asked for, averaged with the time constant decay.
func (d *demand) rate(now time.Time, decay time.Duration) float64 {
	return d.perSecond * math.Exp(-now.Sub(d.at).Seconds()/decay.Seconds())
}
