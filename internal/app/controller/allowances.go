package controller

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cassiapass/cassiapass/internal/app/control"
	"github.com/cassiapass/cassiapass/internal/core/allowance"
	"github.com/cassiapass/cassiapass/internal/core/customer"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// allowances distributes customers' allowances over entries while this host leads. Calls
// are answered outside the controller's loop, where they would wait for plans.
type allowances struct {
	tolerance allowance.Tolerance

	mu    sync.Mutex
	alloc *allowance.Allocator // nil while this host does not lead
}

func (a *allowances) startLeading() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.alloc = allowance.NewAllocator(a.tolerance)
}

func (a *allowances) stopLeading() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.alloc = nil
}

// setLimits applies the limits of a deployment.
func (a *allowances) setLimits(now time.Time, book *customer.Book) {
	var limits []allowance.Limit
	if book != nil {
		book.All(func(c *customer.Customer) {
			if c.Allowance.Limited() {
				limits = append(limits, allowance.Limit{Customer: c.Name, Rate: c.Allowance.Rate, Burst: c.Allowance.Burst})
			}
		})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.alloc != nil {
		a.alloc.SetLimits(now, limits)
	}
}

// recordPull records that an entry is alive, or that it is leaving.
func (a *allowances) recordPull(now time.Time, p wire.PullParams) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.alloc == nil:
	case p.Leaving:
		a.alloc.Forget(now, string(p.Host))
	default:
		a.alloc.Seen(now, string(p.Host), p.Entries)
	}
}

// report applies the use that an entry reports and returns the entry's shares.
func (a *allowances) report(now time.Time, p wire.AllowanceParams) wire.AllowanceResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.alloc == nil {
		return wire.AllowanceResult{}
	}
	return wire.AllowanceResult{Leading: true, Shares: a.alloc.Report(now, string(p.Host), p.Uses)}
}

// status returns the state of all allowances; false if this host does not lead.
func (a *allowances) status(now time.Time) ([]allowance.Status, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.alloc == nil {
		return nil, false
	}
	return a.alloc.Status(now), true
}

// AllowancesPath is the path of the operator API at which customers' allowances are read.
const AllowancesPath = "/v1/allowances"

// ServeAllowances answers an operator's request with an []allowance.Status. Only the leader
// has it; another host names the leader in an error, and the operator's client asks the next
// host.
func (c *Controller) ServeAllowances(x echo.Context) error {
	st, leads := c.allow.status(time.Now())
	if !leads {
		return c.notLeader(x)
	}
	return x.JSON(http.StatusOK, st)
}

// notLeader answers an operator's request that only the leader can answer.
func (c *Controller) notLeader(x echo.Context) error {
	return x.JSON(http.StatusServiceUnavailable, control.Failure{Code: "not_leader", Message: "this host does not lead; the leader's address among control hosts is " + c.host.LeaderAddr()})
}
