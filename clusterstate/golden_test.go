package clusterstate

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"basaltwall/api"
	"basaltwall/internal/golden"
)

type goldenState = State[struct{}, struct{}]

// put applies a key's value to a state.
func put(t *testing.T, b *goldenState, key string, value []byte, version api.Revision) {
	t.Helper()
	if err := b.Put(key, value, version); err != nil {
		t.Fatal(err)
	}
}

// Keys and values stored by earlier versions are still decoded and applied correctly.
func TestGolden(t *testing.T) {
	f := golden.Open(t)
	f.Text("keys", strings.Join([]string{Root, KeyMember, KeyPartition, KeyCheckpointHead, KeyCheckpointChunk, KeyRound, KeyJob, KeyLoan, KeyJobResult,
		PartitionKey(KeyPartition, 3), RoundKey(3, 130), CheckpointChunkKey(3, 5, 2), fmt.Sprint(RingSize), fmt.Sprint(Format)}, "\n"))
	b := New[struct{}, struct{}](4)

	member := golden.Filled[MemberValue](t)
	put(t, b, "b/member/stone-1", golden.JSON(f, "member", member), 5)
	golden.Same(t, "member", b.Members["stone-1"], member)
	golden.JSON(f, "empty member", MemberValue{})

	partition := golden.Filled[PartitionValue](t)
	put(t, b, "b/part/2", golden.JSON(f, "part", partition), 6)
	if p := b.Partitions[2]; p.Owner != partition.Owner || p.Term != 6 {
		t.Errorf("partition: %+v", p)
	}

	head := golden.Filled[CheckpointHeadValue](t)
	put(t, b, "b/head/2", golden.JSON(f, "head", head), 7)
	golden.Same(t, "head", b.Partitions[2].CheckpointHead, head)
	golden.JSON(f, "empty head", CheckpointHeadValue{})

	job := golden.Filled[JobValue](t)
	put(t, b, "b/job/run-7", golden.JSON(f, "job", job), 8)
	golden.Same(t, "job", b.Jobs["run-7"].JobValue, job)
	golden.JSON(f, "empty job", JobValue{Spec: &api.JobSpec{}})

	lend := golden.Filled[LoanValue](t)
	put(t, b, "b/lend/i-7", golden.JSON(f, "lend with tasks", lend), 9)
	golden.Same(t, "lend with tasks", b.Loans["i-7"], Loan{lend, 9})
	plain := LoanValue{Partition: 3, Job: "run-7"}
	put(t, b, "b/lend/i-8", golden.JSON(f, "lend", plain), 10)
	golden.Same(t, "lend", b.Loans["i-8"], Loan{plain, 10})

	round := golden.Filled[RoundRecord](t)
	b.Partitions[2].RoundSeq = round.Seq - 1
	put(t, b, "b/round/2/2", golden.JSON(f, "round", round), 11)
	if b.Partitions[2].RoundSeq != round.Seq {
		t.Errorf("latest round is %d, expected %d", b.Partitions[2].RoundSeq, round.Seq)
	}
	for _, transfer := range round.QuotaTransfers {
		golden.Same(t, "quota transfer", b.Partitions[2].quotaTransferred[transfer.To][transfer.Team], transfer.Amount)
	}
	for _, reservation := range round.Reservations {
		golden.Same(t, "reservation", b.Partitions[2].Reservations[reservation.Machine], reservation)
	}
	golden.JSON(f, "empty round", RoundRecord{Jobs: []JobDelta{{Starts: []TaskStart{{}}}}, QuotaTransfers: []QuotaTransfer{{}}, Reservations: []Reservation{{}}})
}

// Rounds and checkpoints stored by earlier versions, with starts, completions and failures of tasks,
// result in the same state, both when applied one by one and when loaded.
func TestGoldenFold(t *testing.T) {
	const job = `{"s":{"ref":"run-7","mestiere":"render","bottega":"red","forma":"sweep","urgenza":"normal","pezzi":70,"cores":1,"gpus":0,"ram_gb":1,` +
		`"stampo":"x","image_gb":1,"stima_s":5},"p":[[0,40,0],[40,70,1]],"t":1000}`
	rounds := []string{
		`{"q":1,"j":[{"j":"run-7","+":[{"i":0,"m":"i-1","s":11},{"i":1,"m":"i-1","s":11},{"i":2,"m":"i-2","s":12},{"i":39,"m":"i-2","s":12}]}],` +
			`"g":[{"to":1,"team":"red","n":{"CPU":2000000,"GPU":3000000,"Mem":4000000}}],"k":[{"m":"i-3","r":"run-7","t":1500}]}`,
		`{"q":2,"j":[{"j":"run-7","+":[{"i":3,"m":"i-1","s":11}],"d":[0,39],"l":[2]}]}`,
		`{"q":3,"j":[{"j":"run-7","x":true}]}`,
	}
	b := New[struct{}, struct{}](2)
	put(t, b, "b/job/run-7", []byte(job), 5)
	for i, r := range rounds {
		put(t, b, RoundKey(0, uint64(i+1)), []byte(r), api.Revision(6+i))
	}
	b.Revision = 8
	want := RoundRecord{Seq: 3, Revision: 8, Jobs: []JobDelta{{Job: "run-7", CancellationAcknowledged: true, CompletedBits: []byte{1, 0, 0, 0, 128},
		Starts: []TaskStart{{Task: 1, Machine: "i-1", Epoch: 11, Attempt: 3}, {Task: 3, Machine: "i-1", Epoch: 11, Attempt: 5}}}},
		QuotaTransfers: []QuotaTransfer{{To: 1, Team: "red", Amount: api.Resources{CPU: 2e6, GPU: 3e6, Mem: 4e6}}}, Reservations: []Reservation{{Machine: "i-3", Job: "run-7", Since: 1500}}}
	golden.Same(t, "state after the rounds", b.Checkpoint(0), want)
	if j := b.Jobs["run-7"]; j.RetryCount != 1 || !j.Completed.Has(39) || j.Completed.Has(2) {
		t.Errorf("%d retries, completed tasks %v", j.RetryCount, j.Completed)
	}

	writes, err := b.CheckpointWrites(0, 80)
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, w := range writes {
		lines = append(lines, w.Put+" "+string(w.Value))
	}
	// The compressed bytes of a checkpoint may differ between versions, but both must be readable.
	f := golden.Open(t)
	current := strings.Join(lines, "\n")
	for what, stored := range map[string]string{"checkpoint": f.Section("checkpoint", current), "checkpoint of this version": current} {
		n := New[struct{}, struct{}](2)
		n.BeginLoad()
		put(t, n, "b/job/run-7", []byte(job), 5)
		count := 0
		for line := range strings.Lines(stored) {
			key, value, _ := strings.Cut(strings.TrimSpace(line), " ")
			put(t, n, key, json.RawMessage(value), 9)
			count++
		}
		if count < 3 {
			t.Errorf("%s: %d keys, expected at least 3", what, count)
		}
		if err := n.FinishLoad(); err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		n.Revision = 8
		golden.Same(t, what, n.Checkpoint(0), want)
		golden.Same(t, what+": head", n.Partitions[0].CheckpointHead, CheckpointHeadValue{Seq: 3, Generation: 1, Chunks: count - 1, Revision: 8})
	}
}
