// This file implements fair admission of submissions among tenants when a controller is overloaded.

package tenant

import (
	"slices"
	"time"

	"basaltwall/api"
)

// FairLimiter divides a controller's submission rate fairly among the tenants that submit: deficit round
// robin without a queue. Each active tenant is credited an equal share, up to a bound; the excess goes to
// a shared credit that any tenant may use. A tenant within its share is admitted regardless of the load
// from other tenants. The zero value is ready to use.
type FairLimiter struct {
	accounts     map[Name]*account
	order        []*account // in order of arrival, so that floating-point sums are deterministic
	sharedCredit float64    // in submissions
	filledAt     api.Time
}

// account holds the credit of an active tenant.
type account struct {
	name     Name
	level    float64  // credit, in submissions
	lastSeen api.Time // time of the latest submission
}

const (
	// activeWindow is the duration for which a tenant counts as active after a submission.
	activeWindow = 2 * time.Second
	// maxCreditSeconds bounds the credit of a tenant, in seconds of its share, and the shared credit, in
	// seconds of the total rate.
	maxCreditSeconds = 1.0
)

// Take admits a submission if the tenant's credit or the shared credit allows it; otherwise wait is the
// time until the tenant's credit reaches one submission. rate is the total admission rate in submissions
// per second.
func (f *FairLimiter) Take(now api.Time, name Name, rate float64) (ok bool, wait time.Duration) {
	if f.accounts == nil {
		f.accounts = map[Name]*account{}
	}
	f.fill(now, rate)
	c := f.accounts[name]
	if c == nil {
		// The shared credit includes the credit of inactive tenants.
		c = &account{name: name, level: min(1, f.sharedCredit)}
		f.sharedCredit -= c.level
		f.accounts[name] = c
		f.order = append(f.order, c)
	}
	c.lastSeen = now
	switch {
	case c.level >= 1:
		c.level--
	case c.level+f.sharedCredit >= 1:
		f.sharedCredit -= 1 - c.level
		c.level = 0
	default:
		share := rate / float64(len(f.order))
		return false, waitForToken(c.level, share)
	}
	return true, 0
}

// fill adds the credit for the time since the last call.
func (f *FairLimiter) fill(now api.Time, rate float64) {
	since := now.Sub(f.filledAt).Seconds()
	if since <= 0 {
		return
	}
	f.filledAt = now
	f.order = slices.DeleteFunc(f.order, func(c *account) bool {
		inactive := now.Sub(c.lastSeen) > activeWindow
		if inactive {
			f.sharedCredit += c.level
			delete(f.accounts, c.name)
		}
		return inactive
	})
	bound := max(1, rate*maxCreditSeconds)
	if n := float64(len(f.order)); n > 0 {
		perTenantLimit, perTenantCredit := max(1, bound/n), rate*since/n
		for _, c := range f.order {
			level := min(perTenantLimit, c.level+perTenantCredit)
			f.sharedCredit += c.level + perTenantCredit - level
			c.level = level
		}
	} else {
		f.sharedCredit += rate * since
	}
	f.sharedCredit = min(f.sharedCredit, bound)
}
