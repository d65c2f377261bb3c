package tenant

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"basaltwall/api"
)

// Over any interval a bucket allows no more than its burst and its rate.
func TestTokenBucketRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rapid.Float64Range(0.01, 50).Draw(t, "rate"), rapid.Float64Range(1, 30).Draw(t, "burst")
		var b TokenBucket
		var taken []api.Time
		now := api.Time(1)
		for range rapid.IntRange(1, 300).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			ok, wait := b.Take(now, rate, burst)
			if ok {
				taken = append(taken, now)
				continue
			}
			later := b
			if ok, _ := later.Take(now.Add(wait+time.Microsecond), rate, burst); !ok {
				t.Fatalf("told to come back after %v, refused then", wait)
			}
		}
		for i := range taken {
			for j := i; j < len(taken); j++ {
				if n, most := float64(j-i+1), burst+rate*taken[j].Sub(taken[i]).Seconds()+1e-6; n > most+1e-6 {
					t.Fatalf("%v taken in %v, at most %v", n, taken[j].Sub(taken[i]), most)
				}
			}
		}
	})
}

// A tenant's first submission is not refused for being the first, unless the process has
// just started.
func TestTokenBucketOfNewTenant(t *testing.T) {
	var b TokenBucket
	if ok, _ := b.Take(api.Time(time.Minute), 0.5, 3); !ok {
		t.Error("the first is refused after a minute")
	}
	var c TokenBucket
	if ok, wait := c.Take(api.Time(time.Second), 0.5, 3); ok || wait != time.Second {
		t.Errorf("a second after the beginning: taken %v, wait %v", ok, wait)
	}
}

// The rate is that of the whole service: over all controllers no more is taken than the
// rate and the burst allow, and a bound for the times in which their member counts differ.
func TestRateShareAcrossMembershipChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 20.0, 12.0
		now, total := api.Time(1), 0
		alive := []*TokenBucket{{}, {}, {}}
		changes, extra := 0, 0.0
		begun := now
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(20 * time.Millisecond)
			counted := len(alive)
			event := 2
			if changes < 3 {
				event = rapid.IntRange(0, 19).Draw(t, "event")
			}
			switch event {
			case 0:
				if len(alive) > 1 { // one fails; the others learn it by the end of its lease
					alive = alive[1:]
					changes++
				}
			case 1:
				if len(alive) < 5 {
					// One starts; the others count it a moment later, it counts all.
					alive = append(alive, &TokenBucket{})
					extra += rate * 0.02
					changes++
				}
			}
			for _, b := range alive {
				r, k := RateShare(rate, burst, counted)
				for {
					if ok, _ := b.Take(now, r, k); !ok {
						break
					}
					total++
				}
			}
		}
		// A changed membership may leave each with a share of the burst that was the
		// larger one's: as many more as the largest share, once for each change.
		most := burst + rate*now.Sub(begun).Seconds() + extra + float64(changes)*burst + float64(len(alive))
		if float64(total) > most {
			t.Fatalf("%d submissions taken in %v with %d changes, at most %.1f", total, now.Sub(begun), changes, most)
		}
	})
}

// However many tenants overload the service, one that stays within its share is never refused, and all
// together get no more than there is.
func TestFairLimiterIsolatesTenants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(4, 80).Draw(t, "rate")
		floods := rapid.IntRange(1, 6).Draw(t, "floods")
		// Its share while all are active, less what a step takes.
		part := rate / float64(floods+1)
		every := api.Seconds(1.05 / part)
		if every > activeWindow {
			every = activeWindow // it must submit to count as active
		}
		var f FairLimiter
		now := api.Time(1)
		next := now.Add(every)
		taken, end := 0.0, now.Add(20*time.Second)
		begun := now
		f.Take(now, "calm", rate)
		for now < end {
			now = now.Add(10 * time.Millisecond)
			for i := range floods {
				for range rapid.IntRange(0, 4).Draw(t, "tries") {
					if ok, _ := f.Take(now, Name(fmt.Sprint("flood-", i)), rate); ok {
						taken++
					}
				}
			}
			if now < next {
				continue
			}
			next = next.Add(every)
			ok, _ := f.Take(now, "calm", rate)
			if ok {
				taken++
			} else if now.Sub(begun) > 2*every && part >= 1/activeWindow.Seconds() {
				t.Fatalf("refused at %v though within its part of %.2f a second", now.Sub(begun), part)
			}
		}
		if most := rate*now.Sub(begun).Seconds() + 2*max(1, rate*maxCreditSeconds) + float64(floods+1); taken > most {
			t.Fatalf("%v taken of %v", taken, most)
		}
	})
}

// Credit that nobody used for long is not available all at once.
func TestFairLimiterAfterIdle(t *testing.T) {
	var f FairLimiter
	f.Take(1, "calm", 10)
	now := api.Time(1).Add(time.Hour)
	taken := 0
	for i := range 500 {
		if ok, _ := f.Take(now, Name(fmt.Sprint("t-", i%5)), 10); ok {
			taken++
		}
	}
	if taken != 10 {
		t.Errorf("%d taken at once after a pause, expected what comes in a second, 10", taken)
	}
}
