package balance

import (
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// fakeLog counts reads of the log, the first of which fail.
type fakeLog struct{ reads, failures int }

func (f *fakeLog) LinearizableRead(onRead, onFailure func()) {
	f.reads++
	if f.reads <= f.failures {
		onFailure()
		return
	}
	onRead()
}

// A loan that the state service refuses for good is not sent again; it ends with a read of the log that
// succeeds.
func TestRejectedLoanIsNotRepeated(t *testing.T) {
	cfg, err := config.Parse([]byte(`{"label":"n","api_addr":"10.0.0.1:1","peer_listen":"10.0.0.1:2",
"external":{"cloud":"10.0.0.2:1","state":"10.0.0.3:1"},"deployment":{"initial_size":1,"zones":["a","b"],
"teams":[{"name":"red"}],"workers":{"report_s":3,"lease_s":30,"cancel_s":60},
"state":{"rps":100,"write_rps":50,"value_kb":8,"txn_ops":12},"cloud":{"rps":10}}}`))
	if err != nil {
		t.Fatal(err)
	}
	shared := core.New(cfg, 1)
	shared.State = clusterstate.New[core.JobOwnerState, core.PlacementOwnerState](2)
	shared.Now = api.Time(time.Minute)
	owned := &core.OwnedPartition{ID: 0, Term: 7}
	shared.Partitions[0] = owned
	log := &fakeLog{failures: 2}
	b := New(shared)
	b.Connect(Dependencies{Log: log})
	b.lendMachine(owned, "i-000001", 1, "run-1")
	call, ok := shared.TakeEffects()[0].(message.StoreCall)
	if !ok {
		t.Fatal("the loan is not written")
	}
	shared.CompleteCall(call.ID, message.StoreResponse{ID: call.ID, Status: api.StatusBadRequest})
	for range 5 {
		shared.Now = shared.Now.Add(time.Second)
		shared.RunDeferredCalls()
	}
	if effects := shared.TakeEffects(); len(effects) != 0 || owned.LoanInFlight || log.reads != 3 {
		t.Errorf("%d effects, loan in flight %t, %d reads; expected none, no loan and 3", len(effects), owned.LoanInFlight, log.reads)
	}
}
