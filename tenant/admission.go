package tenant

import (
	"slices"
	"time"

	"basaltwall/api"
)

// Bucket is a token bucket: so many at once, so many a second. It is empty when the
// process begins, or one that ends again and again would allow a burst each time.
type Bucket struct {
	level float64
	at    api.Time
}

// Take takes one if it may; otherwise it says when one will be there. Rate and burst may
// differ from call to call: they are this controller's share.
func (b *Bucket) Take(now api.Time, rate, burst float64) (ok bool, wait time.Duration) {
	b.fill(now, rate, burst)
	if b.level >= 1 {
		b.level--
		return true, 0
	}
	return false, api.Seconds(min(3600, (1-b.level)/max(rate, 1e-9)))
}

func (b *Bucket) fill(now api.Time, rate, burst float64) {
	b.level += rate * max(0, now.Sub(b.at).Seconds())
	b.level, b.at = min(b.level, max(1, burst)), now
}

// Share is a controller's share of a tenant's rate and burst while so many live. The sum
// over all is the whole, or less as long as some count more members than there are.
// While some still count fewer, those add up to more by what they take too much in that
// time, and by one: a share of a burst is never less than one.
func Share(rate, burst float64, members int) (float64, float64) {
	m := float64(max(1, members))
	return rate / m, max(1, burst/m)
}

// Fair divides the submissions that a controller can write among the tenants that want to
// submit: deficit round robin in which nobody waits. Each tenant that has come lately is
// credited an equal part, up to a bound; what is beyond it goes into a pot for whoever
// needs more. A tenant that stays within its part is not refused, whatever others do.
type Fair struct {
	credits map[Name]*credit
	order   []*credit // in the order they came, so that sums are the same each time
	pot     float64
	at      api.Time
}

type credit struct {
	name  Name
	level float64
	last  api.Time // it came
}

const (
	// lately is for how long a tenant that has come counts as one that wants to submit.
	lately = 2 * time.Second
	// ahead is how much of its part a tenant may have credited, and the pot of the whole.
	ahead = 1.0 // seconds
)

// Take takes one submission for a tenant of those that may be written, rate a second in
// all; otherwise it says when the tenant's part will have grown to one.
func (f *Fair) Take(now api.Time, name Name, rate float64) (ok bool, wait time.Duration) {
	if f.credits == nil {
		f.credits = map[Name]*credit{}
	}
	f.fill(now, rate)
	c := f.credits[name]
	if c == nil {
		// What it would have been credited has gone into the pot meanwhile.
		c = &credit{name: name, level: min(1, f.pot)}
		f.pot -= c.level
		f.credits[name] = c
		f.order = append(f.order, c)
	}
	c.last = now
	switch {
	case c.level >= 1:
		c.level--
	case c.level+f.pot >= 1:
		f.pot -= 1 - c.level
		c.level = 0
	default:
		part := rate / float64(len(f.order))
		return false, api.Seconds(min(3600, (1-c.level)/max(part, 1e-9)))
	}
	return true, 0
}

// fill credits what has become possible since the last call.
func (f *Fair) fill(now api.Time, rate float64) {
	since := now.Sub(f.at).Seconds()
	if since <= 0 {
		return
	}
	f.at = now
	f.order = slices.DeleteFunc(f.order, func(c *credit) bool {
		gone := now.Sub(c.last) > lately
		if gone {
			f.pot += c.level
			delete(f.credits, c.name)
		}
		return gone
	})
	bound := max(1, rate*ahead)
	if n := float64(len(f.order)); n > 0 {
		most, each := max(1, bound/n), rate*since/n
		for _, c := range f.order {
			level := min(most, c.level+each)
			f.pot += c.level + each - level
			c.level = level
		}
	} else {
		f.pot += rate * since
	}
	f.pot = min(f.pot, bound)
}
