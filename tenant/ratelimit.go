// Rate limits of tenants: token buckets, and a controller's share of them.

package tenant

import (
	"time"

	"basaltwall/api"
)

// TokenBucket is a token bucket: a burst at once, a rate over time. The zero value is ready to use and
// empty: a process that restarts again and again would otherwise allow a burst each time.
type TokenBucket struct {
	level    float64 // tokens
	filledAt api.Time
}

// Take takes a token if there is one; otherwise wait is the time until there will be. Rate, in tokens a
// second, and burst may differ from call to call: they are this controller's share.
func (b *TokenBucket) Take(now api.Time, rate, burst float64) (ok bool, wait time.Duration) {
	b.fill(now, rate, burst)
	if b.level >= 1 {
		b.level--
		return true, 0
	}
	return false, waitForToken(b.level, rate)
}

// fill adds the tokens of the time since the last call.
func (b *TokenBucket) fill(now api.Time, rate, burst float64) {
	b.level += rate * max(0, now.Sub(b.filledAt).Seconds())
	b.level, b.filledAt = min(b.level, max(1, burst)), now
}

// RateShare is a controller's share of a tenant's rate and burst with so many members. The sum
// over all controllers is the whole, or less while some count more members than there are.
// While some still count fewer, the sum exceeds it by what these take too much in that
// time, and by one token: a share of a burst is never less than one.
func RateShare(rate, burst float64, members int) (float64, float64) {
	m := float64(max(1, members))
	return rate / m, max(1, burst/m)
}

const (
	maxWaitSeconds = 3600 // longest wait that a refusal names
	minRate        = 1e-9 // a smaller rate counts as this one
)

// waitForToken is the time until a level grows to one token at a rate a second.
func waitForToken(level, rate float64) time.Duration {
	return api.Seconds(min(maxWaitSeconds, (1-level)/max(rate, minRate)))
}
