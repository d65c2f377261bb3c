package tenant

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"basaltwall/api"
)

// Over any interval a bucket admits at most its burst plus its rate times the interval.
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
				t.Fatalf("refused again after the returned wait of %v", wait)
			}
		}
		for i := range taken {
			for j := i; j < len(taken); j++ {
				if n, limit := float64(j-i+1), burst+rate*taken[j].Sub(taken[i]).Seconds()+1e-6; n > limit+1e-6 {
					t.Fatalf("%v taken in %v, at most %v", n, taken[j].Sub(taken[i]), limit)
				}
			}
		}
	})
}

// The first submission of a tenant is admitted, unless the process has just started.
func TestTokenBucketOfNewTenant(t *testing.T) {
	var b TokenBucket
	if ok, _ := b.Take(api.Time(time.Minute), 0.5, 3); !ok {
		t.Error("the first submission is refused a minute after the start")
	}
	var c TokenBucket
	if ok, wait := c.Take(api.Time(time.Second), 0.5, 3); ok || wait != time.Second {
		t.Errorf("a second after the start: admitted %v, wait %v", ok, wait)
	}
}

// A rate limit holds for the whole service: all controllers together admit at most the rate and the
// burst, plus a bounded excess for each membership change.
func TestRateShareAcrossMembershipChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 20.0, 12.0
		now, total := api.Time(1), 0
		buckets := []*TokenBucket{{}, {}, {}}
		changes, excess := 0, 0.0
		start := now
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(20 * time.Millisecond)
			members := len(buckets)
			event := 2
			if changes < 3 {
				event = rapid.IntRange(0, 19).Draw(t, "event")
			}
			switch event {
			case 0:
				if len(buckets) > 1 { // one controller fails; the others still count it in this step
					buckets = buckets[1:]
					changes++
				}
			case 1:
				if len(buckets) < 5 {
					// One controller starts; all controllers count it from the next step on.
					buckets = append(buckets, &TokenBucket{})
					excess += rate * 0.02
					changes++
				}
			}
			for _, b := range buckets {
				r, k := RateShare(rate, burst, members)
				for {
					if ok, _ := b.Take(now, r, k); !ok {
						break
					}
					total++
				}
			}
		}
		// After a membership change, buckets may still hold burst shares of the earlier number of
		// controllers: at most one burst more per change.
		limit := burst + rate*now.Sub(start).Seconds() + excess + float64(changes)*burst + float64(len(buckets))
		if float64(total) > limit {
			t.Fatalf("%d submissions admitted in %v with %d membership changes, at most %.1f", total, now.Sub(start), changes, limit)
		}
	})
}

// A tenant within its share is never refused, however many tenants overload the service, and all tenants
// together get at most the total rate.
func TestFairLimiterIsolatesTenants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(4, 80).Draw(t, "rate")
		heavyTenants := rapid.IntRange(1, 6).Draw(t, "heavy tenants")
		// The share of a tenant while all are active; the light tenant submits slightly less.
		share := rate / float64(heavyTenants+1)
		interval := api.Seconds(1.05 / share)
		if interval > activeWindow {
			interval = activeWindow // it must submit to count as active
		}
		var f FairLimiter
		now := api.Time(1)
		next := now.Add(interval)
		taken, end := 0.0, now.Add(20*time.Second)
		start := now
		f.Take(now, "light", rate)
		for now < end {
			now = now.Add(10 * time.Millisecond)
			for i := range heavyTenants {
				for range rapid.IntRange(0, 4).Draw(t, "tries") {
					if ok, _ := f.Take(now, Name(fmt.Sprint("heavy-", i)), rate); ok {
						taken++
					}
				}
			}
			if now < next {
				continue
			}
			next = next.Add(interval)
			ok, _ := f.Take(now, "light", rate)
			if ok {
				taken++
			} else if now.Sub(start) > 2*interval && share >= 1/activeWindow.Seconds() {
				t.Fatalf("refused after %v although within its share of %.2f submissions per second", now.Sub(start), share)
			}
		}
		if limit := rate*now.Sub(start).Seconds() + 2*max(1, rate*maxCreditSeconds) + float64(heavyTenants+1); taken > limit {
			t.Fatalf("%v submissions admitted, at most %v", taken, limit)
		}
	})
}

// Credit that accumulates while tenants are idle is bounded.
func TestFairLimiterAfterIdle(t *testing.T) {
	var f FairLimiter
	f.Take(1, "light", 10)
	now := api.Time(1).Add(time.Hour)
	taken := 0
	for i := range 500 {
		if ok, _ := f.Take(now, Name(fmt.Sprint("t-", i%5)), 10); ok {
			taken++
		}
	}
	if taken != 10 {
		t.Errorf("%d submissions admitted at once after an idle hour, expected the credit of one second, 10", taken)
	}
}
