// This file implements rate limits of tenants: token buckets, and a controller's share of a limit.

package tenant

import (
	"time"

	"basaltwall/api"
)

// TokenBucket limits a rate and allows bursts. The zero value is an empty bucket that is ready to use. A
// new bucket is empty so that a process that restarts repeatedly does not allow a burst each time.
type TokenBucket struct {
	level    float64 // in tokens
	filledAt api.Time
}

// Take takes a token if one is available; otherwise wait is the time until the next one. rate, in tokens
// per second, and burst are this controller's share of the tenant's limit; they may differ from call to
// call.
func (b *TokenBucket) Take(now api.Time, rate, burst float64) (ok bool, wait time.Duration) {
	b.fill(now, rate, burst)
	if b.level >= 1 {
		b.level--
		return true, 0
	}
	return false, waitForToken(b.level, rate)
}

// fill adds the tokens for the time since the last call.
func (b *TokenBucket) fill(now api.Time, rate, burst float64) {
	b.level += rate * max(0, now.Sub(b.filledAt).Seconds())
	b.level, b.filledAt = min(b.level, max(1, burst)), now
}

// RateShare returns a controller's share of a tenant's rate and burst, by the number of controllers that
// it counts. While all controllers count the same number, the shares add up to the limit, except that
// each share of the burst is at least one token. While some count too few, the sum exceeds the limit.
func RateShare(rate, burst float64, members int) (float64, float64) {
	m := float64(max(1, members))
	return rate / m, max(1, burst/m)
}

const (
	maxWaitSeconds = 3600 // upper bound of a returned wait
	minRate        = 1e-9 // lower bound of a rate, which avoids a division by zero
)

// waitForToken returns the time until a level reaches one token, at a rate in tokens per second.
func waitForToken(level, rate float64) time.Duration {
	return api.Seconds(min(maxWaitSeconds, (1-level)/max(rate, minRate)))
}
