package clusterstate

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"basaltwall/api"
)

// Packed starts are decoded to the same starts, beside jobs whose starts are a list.
func TestPackedStartsRoundTrip(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		var starts TaskStarts
		for task := 0; len(starts) < 1+r.IntN(500); task += 1 + r.IntN(2) {
			starts = append(starts, TaskStart{Task: task, Machine: api.MachineID(fmt.Sprintf("i-%06d", r.IntN(4))), Epoch: api.Epoch(r.IntN(3))})
		}
		record := RoundRecord{Seq: 7, Jobs: []JobDelta{
			{Job: "run-1", Starts: starts, EndedIncomplete: []int{3}},
			{Job: "run-2", Starts: starts[:1]},
			{Job: "run-3", Completed: []int{4}},
		}}
		plain, err := record.Encode()
		if err != nil {
			t.Fatal(err)
		}
		packed, err := starts.Pack()
		if err != nil {
			t.Fatal(err)
		}
		record.SetPacked("run-1", packed)
		stored, err := record.Encode()
		if err != nil {
			t.Fatal(err)
		}
		for _, data := range [][]byte{plain, stored} {
			var decoded RoundRecord
			if err := json.Unmarshal(data, &decoded); err != nil {
				t.Fatal(err)
			}
			if decoded.Seq != 7 || !reflect.DeepEqual(decoded.Jobs, record.Jobs) {
				t.Fatalf("seed %d: the record is decoded differently", seed)
			}
		}
	}
}

// A record with packed starts is read as this version has stored it. A version without support for them fails to read it.
func TestStoredPackedStarts(t *testing.T) {
	const stored = `{"q":7,"j":[{"j":"run-1","+":"BMChDQMgFIRh3zF+fSQHuFul6QBPgEESdu/3vRSx2GSKRahmeyAOGU+XIlNs0sUiVLM9EYf09/v8AwAA//8="}]}`
	want := TaskStarts{{Task: 0, Machine: "i-0002", Epoch: 2}, {Task: 1, Machine: "i-0002", Epoch: 2}, {Task: 2, Machine: "i-0002", Epoch: 2},
		{Task: 3, Machine: "i-0003", Epoch: 1}}
	var record RoundRecord
	if err := json.Unmarshal([]byte(stored), &record); err != nil || !reflect.DeepEqual(record.Jobs[0].Starts, want) {
		t.Errorf("decoded %+v, %v", record.Jobs, err)
	}
	var earlier struct {
		Jobs []struct {
			Starts []TaskStart `json:"+"`
		} `json:"j"`
	}
	if json.Unmarshal([]byte(stored), &earlier) == nil {
		t.Error("a version that expects a list reads the record")
	}
	for _, malformed := range []string{`"AAAA"`, `"not base64"`, `17`, `""`} {
		var starts TaskStarts
		if json.Unmarshal([]byte(malformed), &starts) == nil {
			t.Errorf("%s is read as %v", malformed, starts)
		}
	}
}
