package emulator

import (
	"fmt"
	"testing"

	"basaltwall/api"
	"basaltwall/config"
)

// The rule promised is violated on purpose: two grants of one skip, two numbers for one request, a promise
// that is not in the log, and two promises of one skip in the log.
func TestCheckerFindsDoubleBookings(t *testing.T) {
	record := func(o *SkipClients, name, state string, number uint64, until int64) *grant {
		return o.recordResponse(name, 200, bookingResponse{Depot: "d", Skip: "s", Number: number, State: state, Site: name, From: formatDay(5), To: formatDay(8), Until: until})
	}
	cases := map[string]struct {
		do   func(*Simulation)
		want int
	}{
		"two promises": {func(sim *Simulation) {
			record(sim.SkipClients, "a", "promised", 1, 0)
			record(sim.SkipClients, "b", "promised", 2, 0)
		}, 1},
		"a released promise": {func(sim *Simulation) {
			record(sim.SkipClients, "a", "promised", 1, 0).released = true
			record(sim.SkipClients, "b", "promised", 2, 0)
		}, 0},
		"a promise and an offer": {func(sim *Simulation) {
			record(sim.SkipClients, "a", "promised", 1, 0)
			record(sim.SkipClients, "b", "offered", 2, int64(sim.WallTime())+9000)
		}, 1},
		"an expired offer": {func(sim *Simulation) {
			record(sim.SkipClients, "a", "offered", 1, int64(sim.WallTime())-1)
			record(sim.SkipClients, "b", "promised", 2, 0)
		}, 0},
		"two numbers for one request": {func(sim *Simulation) {
			record(sim.SkipClients, "a", "promised", 1, 0)
			record(sim.SkipClients, "a", "promised", 2, 0)
		}, 1},
		"not in the log": {func(sim *Simulation) {
			record(sim.SkipClients, "a", "promised", 1, 0)
			sim.SkipClients.CheckLog()
		}, 1},
		"two promises in the log": {func(sim *Simulation) {
			for i, name := range []string{"a", "b"} {
				sim.Store.appendChange(api.Change{Put: fmt.Sprintf("s/r/0/%d", i+1), Version: api.Revision(i + 1),
					Value: fmt.Appendf(nil, `{"q":%d,"ops":[{"o":"promise","d":"d","i":"s","w":%q,"s":"x","f":5,"t":8}]}`, i+1, name)}, 0)
			}
			sim.SkipClients.CheckLog()
		}, 1},
		"a released promise in the log": {func(sim *Simulation) {
			for i, op := range []string{`{"o":"promise","d":"d","i":"s","f":5,"t":8}`, `{"o":"release","d":"d","i":"s","n":257}`, `{"o":"promise","d":"d","i":"s","f":5,"t":8}`} {
				sim.Store.appendChange(api.Change{Put: fmt.Sprintf("s/r/0/%d", i+1), Version: api.Revision(i + 1), Value: fmt.Appendf(nil, `{"q":%d,"ops":[%s]}`, i+1, op)}, 0)
			}
			sim.SkipClients.CheckLog()
		}, 0},
	}
	cfg, err := config.Parse([]byte(`{"label":"n","api_addr":"10.0.0.1:1","peer_listen":"10.0.0.1:2",
"external":{"cloud":"10.0.0.2:1","state":"10.0.0.3:1"},"deployment":{"initial_size":1,"zones":["a"],
"teams":[{"name":"red"}],"workers":{"report_s":3,"lease_s":30,"cancel_s":60},
"state":{"rps":100,"write_rps":50,"value_kb":8,"txn_ops":12},"cloud":{"rps":10}}}`))
	if err != nil {
		t.Fatal(err)
	}
	for what, tc := range cases {
		sim := NewSimulation(1, []*config.Config{cfg})
		if tc.do(sim); len(sim.Checker.Violations) != tc.want {
			t.Errorf("%s: violations %q", what, sim.Checker.Violations)
		}
	}
}
