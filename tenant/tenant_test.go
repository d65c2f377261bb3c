package tenant

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"basaltwall/api"
	_ "basaltwall/internal/proptest"
)

func testTenant() Tenant {
	return Tenant{Name: "kipper", Display: "Kipper & Mulde", Teams: []api.Team{"dispo"}, State: Active, Rate: 2, Burst: 10, OpenJobs: 100, Retention: 3600}
}

func TestCheckNamesTheField(t *testing.T) {
	good := testTenant()
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for field, spoil := range map[string]func(*Tenant){
		"name":        func(x *Tenant) { x.Name = "Kipper" },
		"display":     func(x *Tenant) { x.Display = "two\nlines" },
		"teams":       func(x *Tenant) { x.Teams = []api.Team{"a", "b", "a"} },
		"state":       func(x *Tenant) { x.State = "asleep" },
		"rate":        func(x *Tenant) { x.Rate = math.NaN() },
		"burst":       func(x *Tenant) { x.Burst = 0 },
		"open_jobs":   func(x *Tenant) { x.OpenJobs = -1 },
		"drain_s":     func(x *Tenant) { x.Drain = math.Inf(1) },
		"retention_s": func(x *Tenant) { x.Retention = -1 },
		"keys.name":   func(x *Tenant) { x.Keys = []Key{{ID: "0011223344556677", Name: "1st", Hash: make([]byte, 32)}} },
		"keys":        func(x *Tenant) { x.Keys = []Key{{ID: "00", Name: "first", Hash: make([]byte, 32)}} },
	} {
		x := testTenant()
		spoil(&x)
		var e *Error
		if err := x.Check(); !errors.As(err, &e) || e.Field != field || e.Status != 400 {
			t.Errorf("%s spoilt: %v", field, err)
		}
	}
	for _, name := range []string{"", "-a", "1a", "a b", "a/b", "ä", strings.Repeat("a", 41), "a\x00"} {
		if CheckName("name", name) == nil {
			t.Errorf("%q is accepted as a name", name)
		}
	}
}

// A random walk through a tenant's life: what each act may lead to is written down here
// once more, as a table.
func TestLifecycle(t *testing.T) {
	type act struct {
		name string
		do   func(Tenant, int) (Tenant, error)
	}
	acts := []act{
		{"suspend", func(x Tenant, _ int) (Tenant, error) { return x.Suspend("unpaid", 60, 1000) }},
		{"resume", func(x Tenant, _ int) (Tenant, error) { return x.Resume() }},
		{"remove", func(x Tenant, open int) (Tenant, error) { return x.Remove(open, false) }},
		{"cancel", func(x Tenant, open int) (Tenant, error) { return x.Remove(open, true) }},
		{"finish", func(x Tenant, open int) (Tenant, error) { return x.FinishRemoval(open) }},
	}
	// From a state by an act: without open jobs, with some. "" is a refusal.
	leads := map[State]map[string][2]State{
		Active:    {"suspend": {Suspended, Suspended}, "resume": {Active, Active}, "remove": {}, "cancel": {}, "finish": {}},
		Suspended: {"suspend": {Suspended, Suspended}, "resume": {Active, Active}, "remove": {Removing, ""}, "cancel": {Removing, Removing}, "finish": {}},
		Removing:  {"suspend": {}, "resume": {}, "remove": {Removing, Removing}, "cancel": {Removing, Removing}, "finish": {Removed, ""}},
		Removed:   {"suspend": {}, "resume": {}, "remove": {Removed, Removed}, "cancel": {Removed, Removed}, "finish": {Removed, Removed}},
	}
	rapid.Check(t, func(t *rapid.T) {
		x := testTenant()
		for range rapid.IntRange(1, 12).Draw(t, "acts") {
			a := acts[rapid.IntRange(0, len(acts)-1).Draw(t, "act")]
			open := rapid.IntRange(0, 1).Draw(t, "open")
			before := x
			after, err := a.do(x, open)
			want := leads[before.State][a.name][open]
			if (err == nil) != (want != "") || err == nil && after.State != want {
				t.Fatalf("%s in %s with %d open: %s, %v; expected %q", a.name, before.State, open, after.State, err, want)
			}
			if err == nil {
				if x = after; x.Check() != nil {
					t.Fatalf("%s leaves a record that is refused: %v", a.name, x.Check())
				}
			}
			if x.MayStartTasks() != (x.State == Active) {
				t.Fatalf("%s starts: %v", x.State, x.MayStartTasks())
			}
		}
	})
}

func TestKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) (r [RandomBytes]byte) {
			copy(r[:], rapid.SliceOfN(rapid.Byte(), RandomBytes, RandomBytes).Draw(t, label))
			return r
		}
		a, b := draw("a"), draw("b")
		k, s, err := NewKey(a, "first", 1000, 5000)
		if err != nil {
			t.Fatal(err)
		}
		back, err := ParseSecret(s.String())
		if err != nil || back != s {
			t.Fatalf("%v comes back as %v: %v", s, back, err)
		}
		const off = 250 * time.Millisecond
		_, other, _ := NewKey(b, "other", 1000, 0)
		other.ID = k.ID // one who knows the public part
		for now, open := range map[api.WallTime]bool{1000: true, 4749: true, 4750: false, 5000: false, 9000: false} {
			if k.Verify(s, now, off) != open {
				t.Errorf("at %d: opens %v", now, !open)
			}
		}
		if a != b && string(a[keyIDBytes:]) != string(b[keyIDBytes:]) && k.Verify(other, 1000, off) {
			t.Error("opened by another's secret")
		}
		data, err := json.Marshal(k)
		if err != nil || strings.Contains(string(data), strings.Split(s.String(), ".")[2]) {
			t.Errorf("the record holds the secret: %s", data)
		}
		// One changed character: no key, or another.
		text := []byte(s.String())
		i := rapid.IntRange(0, len(text)-1).Draw(t, "at")
		text[i] ^= byte(rapid.IntRange(1, 127).Draw(t, "by"))
		if c, err := ParseSecret(string(text)); err == nil && k.Verify(c, 1000, off) {
			t.Errorf("%q opens what %q opens", text, s)
		}
	})
}

func FuzzParseSecret(f *testing.F) {
	_, s, _ := NewKey([RandomBytes]byte{}, "first", 0, 0)
	f.Add(s.String())
	f.Add("bw1..")
	f.Fuzz(func(t *testing.T, text string) {
		if s, err := ParseSecret(text); err == nil && s.String() != text {
			t.Errorf("%q is read as %q", text, s)
		}
	})
}

// The table says the same as looking at each network.
func TestNetworksAgainstLinearScan(t *testing.T) {
	addr := rapid.Custom(func(t *rapid.T) netip.Addr {
		if rapid.Bool().Draw(t, "six") {
			var a [16]byte
			copy(a[:], rapid.SliceOfN(rapid.ByteRange(0, 3), 16, 16).Draw(t, "bytes"))
			a[0] = 0x20
			return netip.AddrFrom16(a)
		}
		var a [4]byte
		copy(a[:], rapid.SliceOfN(rapid.ByteRange(0, 3), 4, 4).Draw(t, "bytes"))
		return netip.AddrFrom4(a)
	})
	rapid.Check(t, func(t *rapid.T) {
		var list []netip.Prefix
		for range rapid.IntRange(0, 40).Draw(t, "networks") {
			a := addr.Draw(t, "network")
			p, err := a.Prefix(rapid.IntRange(0, a.BitLen()).Draw(t, "bits"))
			if err != nil {
				t.Fatal(err)
			}
			list = append(list, p)
		}
		n, err := NewNetworks(list)
		if err != nil {
			t.Fatal(err)
		}
		data, err := json.Marshal(n)
		if err != nil {
			t.Fatal(err)
		}
		var back Networks
		if err := json.Unmarshal(data, &back); err != nil {
			t.Fatal(err)
		}
		for range 20 {
			a := addr.Draw(t, "address")
			want := false
			for _, p := range list {
				want = want || p.Contains(a)
			}
			mapped := netip.AddrFrom16(a.As16())
			if n.Contains(a) != want || back.Contains(a) != want || a.Is4() && n.Contains(mapped) != want {
				t.Errorf("%v in %v: %v, expected %v", a, list, n.Contains(a), want)
			}
			if n.Allows(a) != (want || len(list) == 0) {
				t.Errorf("%v is allowed: %v", a, n.Allows(a))
			}
		}
	})
}

func TestIPv4MappedNetworks(t *testing.T) {
	n, err := ParseNetworks([]string{"::ffff:10.0.0.0/104"})
	if err != nil || !n.Contains(netip.MustParseAddr("10.1.2.3")) || n.Contains(netip.MustParseAddr("11.1.2.3")) {
		t.Errorf("%v: %v", n.Prefixes(), err)
	}
}

func TestNetworksRefused(t *testing.T) {
	for _, s := range []string{"", "10.0.0.1/8", "10.0.0.0/33", "300.1.1.1", "fe80::1%eth0/64", "::ffff:0:0/90", "10.0.0.0 /8", "localhost"} {
		var e *Error
		if _, err := ParseNetworks([]string{"192.0.2.0/24", s}); !errors.As(err, &e) || e.Field != "networks" {
			t.Errorf("%q: %v", s, err)
		}
	}
	if _, err := NewNetworks(make([]netip.Prefix, maxNetworks+1)); err == nil {
		t.Error("more networks than allowed are accepted")
	}
}

func TestOrigin(t *testing.T) {
	proxies, err := ParseNetworks([]string{"10.0.0.0/8", "2001:db8::/32"})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ conn, forwarded, want string }{
		{"192.0.2.1", "", "192.0.2.1"},
		{"192.0.2.1", "198.51.100.7", "192.0.2.1"}, // no proxy: not believed
		{"10.0.0.1", "", "10.0.0.1"},
		{"10.0.0.1", "198.51.100.7", "198.51.100.7"},
		{"::ffff:10.0.0.1", "198.51.100.7", "198.51.100.7"},
		{"10.0.0.1", "203.0.113.9, 198.51.100.7", "198.51.100.7"}, // the first part is the client's own word
		{"10.0.0.1", "203.0.113.9, 10.0.0.2", "203.0.113.9"},
		{"10.0.0.1", "203.0.113.9, 2001:db8::5 ,10.0.0.2", "203.0.113.9"},
		{"10.0.0.1", "unknown, 10.0.0.2", "10.0.0.2"},
		{"10.0.0.1", "203.0.113.9:443", "10.0.0.1"},
	} {
		if got := ClientAddr(netip.MustParseAddr(c.conn), c.forwarded, proxies); got != netip.MustParseAddr(c.want) {
			t.Errorf("%s by way of %q: %v, expected %s", c.forwarded, c.conn, got, c.want)
		}
	}
}

// Over any time a bucket gives no more than its burst and its rate.
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
// just begun.
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
// rate and the burst allow, and a bound for the times in which they count members unlike.
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
				if len(alive) > 1 { // one ends; the others know it by the end of its lease
					alive = alive[1:]
					changes++
				}
			case 1:
				if len(alive) < 5 {
					// One begins; the others count it a moment later, it counts all.
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

// However many tenants flood, one that stays within its share is never refused, and all
// together get no more than there is.
func TestFairLimiterIsolatesTenants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(4, 80).Draw(t, "rate")
		floods := rapid.IntRange(1, 6).Draw(t, "floods")
		// Its part while all want to submit, less what a step takes.
		part := rate / float64(floods+1)
		every := api.Seconds(1.05 / part)
		if every > activeWindow {
			every = activeWindow // it has to come to be counted
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

// What nobody has used for long is not there all at once.
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

func TestJobIDs(t *testing.T) {
	a, b := JobID("kipper", "run-1"), JobID("lopresti", "run-1")
	if a == b || !api.ValidJobID(string(a)) || a != JobID("kipper", "run-1") {
		t.Errorf("%s and %s", a, b)
	}
	// No tenant's name and reference run into one another.
	if JobID("a", "run-1") == JobID("arun-", "1") {
		t.Error("two jobs have one id")
	}
}
