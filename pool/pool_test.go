package pool

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"basaltwall/api"
	_ "basaltwall/internal/proptest"
	"basaltwall/tenant"
)

// Shares are nonnegative, one per partition, and add up to the size. Partitions keep their held units
// while the size suffices, and all partitions together may allocate at most the free units.
func TestAllocateShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		partitions := rapid.IntRange(1, 5).Draw(t, "partitions")
		size := rapid.IntRange(0, 30).Draw(t, "size")
		held, total := make([]int, partitions), 0
		for q := range held {
			held[q] = rapid.IntRange(0, 12).Draw(t, "held")
			total += held[q]
		}
		demands := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Demand {
			return Demand{Partition: api.PartitionID(rapid.IntRange(0, partitions-1).Draw(t, "partition")), Units: rapid.IntRange(0, 8).Draw(t, "units"),
				Starts: rapid.IntRange(1, 5).Draw(t, "starts"), Reserves: rapid.Bool().Draw(t, "reserve")}
		}), 0, 8).Draw(t, "demands")
		shares := AllocateShares(size, held, demands)
		p := Pool{Name: "routing", Size: size, MaxSize: size, State: Active, Shares: shares}
		if err := p.Validate(partitions); err != nil {
			t.Fatalf("%v: %v", shares, err)
		}
		sum, free := 0, 0
		for q, s := range shares {
			sum += s
			f := p.Available(api.PartitionID(q), held)
			free += f
			if total <= size && s < held[q] || total > size && s > held[q] {
				t.Fatalf("partition %d holds %d of %d held units, its share is %d of %d", q, held[q], total, s, size)
			}
		}
		if sum != size || free > max(0, size-total) {
			t.Fatalf("shares %v of %d, held %v, free %d", shares, size, held, free)
		}
		// The first demand is satisfied if enough units are free; if it reserves, it gets the free units
		// it needs.
		if len(demands) > 0 && demands[0].Units > 0 && demands[0].Units <= size && total <= size {
			first, remaining := demands[0], size-total
			if got := shares[first.Partition] - held[first.Partition]; remaining >= first.Units && got < first.Units || first.Reserves && got < min(remaining, first.Units*first.Starts) {
				t.Fatalf("%+v is the first demand for %d free units and gets %d", first, remaining, got)
			}
		}
		frozen := p
		frozen.State = Frozen
		for q := range shares {
			if frozen.Available(api.PartitionID(q), held) != 0 {
				t.Fatal("a frozen pool allocates units")
			}
		}
	})
}

// Pending work reserves units in every second interval, not in the first.
func TestReservationIntervalsAlternate(t *testing.T) {
	for waited, want := range map[time.Duration]bool{0: false, ReservationInterval - 1: false, ReservationInterval: true, 2*ReservationInterval - 1: true, 2 * ReservationInterval: false, 3 * ReservationInterval: true} {
		if ShouldReserve(waited) != want {
			t.Errorf("ShouldReserve after %v: %v", waited, !want)
		}
	}
}

func TestCheckNamesTheField(t *testing.T) {
	good := Pool{Name: "routing", Size: 3, MaxSize: 5, State: Active, Shares: []int{2, 1}}
	if err := good.Validate(2); err != nil {
		t.Fatal(err)
	}
	for field, corrupt := range map[string]func(*Pool){
		"name": func(p *Pool) { p.Name = "Routing/1" }, "size": func(p *Pool) { p.Size = -1 }, "largest": func(p *Pool) { p.MaxSize = 2 },
		"unit": func(p *Pool) { p.Unit = "a\nb" }, "state": func(p *Pool) { p.State = "" }, "shares": func(p *Pool) { p.Shares = []int{3, 1} },
		"guaranteed": func(p *Pool) { p.Guaranteed = map[api.Team]int{"red": 3, "blue": 3} },
		"teams":      func(p *Pool) { p.Teams = make([]api.Team, maxEntries+1) }, "tenants": func(p *Pool) { p.Tenants = make([]tenant.Name, maxEntries+1) },
	} {
		p := good
		corrupt(&p)
		var e *tenant.Error
		if err := p.Validate(2); !errors.As(err, &e) || e.Field != field {
			t.Errorf("%s corrupted: %v", field, err)
		}
	}
	p := good
	p.Teams, p.Tenants = []api.Team{"red"}, []tenant.Name{"kipper"}
	for _, c := range []struct {
		team api.Team
		name tenant.Name
		want bool
	}{{"red", "", true}, {"blue", "kipper", true}, {"blue", "lopresti", false}, {"blue", "", false}} {
		if p.Allows(c.team, c.name) != c.want || !good.Allows(c.team, c.name) {
			t.Errorf("team %s of %q: expected %v", c.team, c.name, c.want)
		}
	}
}

// An invalid record leaves the previous one in force.
func TestTableKeepsLastValidRecord(t *testing.T) {
	table := NewTable(2)
	if err := table.Put("routing", []byte(`{"name":"routing","size":3,"largest":3,"state":"active","shares":[2,1]}`), 5); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{`{`, `{"name":"pay","size":3,"largest":3,"state":"active","shares":[2,1]}`, `{"name":"routing","size":3,"largest":3,"state":"active","shares":[2,2]}`} {
		if table.Put("routing", []byte(bad), 6) == nil {
			t.Errorf("the invalid record %s is accepted", bad)
		}
	}
	if e := table.Get("routing"); e == nil || e.Revision != 5 || table.Len() != 1 {
		t.Errorf("%+v", e)
	}
}
