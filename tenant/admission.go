package tenant

import (
	"slices"
	"time"

	"basaltwall/api"
)

// TokenBucket is a token bucket: so many at once, so many a second. It is empty when the
// process begins, or one that ends again and again would allow a burst each time.
type TokenBucket struct {
	level    float64
	filledAt api.Time
}

// Take takes one if it may; otherwise it says when one will be there. Rate and burst may
// differ from call to call: they are this controller's share.
func (b *TokenBucket) Take(now api.Time, rate, burst float64) (ok bool, wait time.Duration) {
	b.fill(now, rate, burst)
	if b.level >= 1 {
		b.level--
		return true, 0
	}
	return false, api.Seconds(min(3600, (1-b.level)/max(rate, 1e-9)))
}

func (b *TokenBucket) fill(now api.Time, rate, burst float64) {
	b.level += rate * max(0, now.Sub(b.filledAt).Seconds())
	b.level, b.filledAt = min(b.level, max(1, burst)), now
}

// RateShare is a controller's share of a tenant's rate and burst while so many live. The sum
// over all is the whole, or less as long as some count more members than there are.
// While some still count fewer, those add up to more by what they take too much in that
// time, and by one: a share of a burst is never less than one.
func RateShare(rate, burst float64, members int) (float64, float64) {
	m := float64(max(1, members))
	return rate / m, max(1, burst/m)
}

// FairLimiter divides the submissions that a controller can write among the tenants that want to
// submit: deficit round robin in which nobody waits. Each tenant that has come lately is
// credited an equal part, up to a bound; what is beyond it goes into a pot for whoever
// needs more. A tenant that stays within its share is not refused, whatever others do.
type FairLimiter struct {
	accounts     map[Name]*account
	order        []*account // in the order they came, so that sums are the same each time
	sharedCredit float64
	filledAt     api.Time
}

type account struct {
	name     Name
	level    float64
	lastSeen api.Time // it came
}

const (
	// activeWindow is for how long a tenant that has come counts as one that wants to submit.
	activeWindow = 2 * time.Second
	// maxCreditSeconds is how much of its share a tenant may have credited, and the pot of the whole.
	maxCreditSeconds = 1.0 // seconds
)

// Take takes one submission for a tenant of those that may be written, rate a second in
// all; otherwise it says when the tenant's part will have grown to one.
func (f *FairLimiter) Take(now api.Time, name Name, rate float64) (ok bool, wait time.Duration) {
	if f.accounts == nil {
		f.accounts = map[Name]*account{}
	}
	f.fill(now, rate)
	c := f.accounts[name]
	if c == nil {
		// What it would have been credited has gone into the pot meanwhile.
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
		return false, api.Seconds(min(3600, (1-c.level)/max(share, 1e-9)))
	}
	return true, 0
}

// fill credits what has become possible since the last call.
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
