// Fair admission: whose submission is taken when a controller can't write all of them.

package tenant

import (
	"slices"
	"time"

	"basaltwall/api"
)

// FairLimiter divides the submissions that a controller can write among the tenants that submit:
// deficit round robin without a queue. Each recently active tenant is credited an equal share, up to
// a bound; the excess is shared credit for whoever needs more. A tenant that stays within its share is
// not refused, whatever others do. The zero value is ready to use.
type FairLimiter struct {
	accounts     map[Name]*account
	order        []*account // by arrival, so that float sums are the same each time
	sharedCredit float64    // submissions
	filledAt     api.Time
}

// account is the credit of an active tenant.
type account struct {
	name     Name
	level    float64  // submissions
	lastSeen api.Time // of its latest submission
}

const (
	// activeWindow is for how long a tenant counts as active after a submission.
	activeWindow = 2 * time.Second
	// maxCreditSeconds is how many seconds of its share a tenant may have credited, and how many of
	// the whole rate the shared credit may hold.
	maxCreditSeconds = 1.0
)

// Take admits a submission of a tenant, out of rate submissions a second in all; otherwise wait is the
// time until the tenant's credit will have grown to one.
func (f *FairLimiter) Take(now api.Time, name Name, rate float64) (ok bool, wait time.Duration) {
	if f.accounts == nil {
		f.accounts = map[Name]*account{}
	}
	f.fill(now, rate)
	c := f.accounts[name]
	if c == nil {
		// What it would have been credited while inactive is in the shared credit.
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

// fill credits the submissions of the time since the last call.
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
