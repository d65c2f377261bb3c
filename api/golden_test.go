package api

import (
	"fmt"
	"strings"
	"testing"

	"basaltwall/internal/golden"
)

// TestGolden checks that the messages of users, workers, the cloud and the key-value store keep the JSON
// encoding of earlier versions.
func TestGolden(t *testing.T) {
	f := golden.Open(t)
	golden.JSON(f, "job", golden.Filled[JobSpec](t))
	golden.JSON(f, "job status", golden.Filled[JobStatus](t))
	golden.JSON(f, "error", golden.Filled[ErrorBody](t))
	golden.JSON(f, "report", golden.Filled[Heartbeat](t))
	golden.JSON(f, "order", golden.Filled[Command](t))
	golden.JSON(f, "orders", golden.Filled[CommandBatch](t))
	golden.JSON(f, "redirect", golden.Filled[Redirect](t))
	golden.JSON(f, "machine types", golden.Filled[MachineTypes](t))
	golden.JSON(f, "rent", golden.Filled[ScaleOutRequest](t))
	golden.JSON(f, "machine names", golden.Filled[MachineIDList](t))
	golden.JSON(f, "hosts", golden.Filled[InstanceList](t))
	golden.JSON(f, "pair", golden.Filled[KeyValue](t))
	golden.JSON(f, "page", golden.Filled[KeyPage](t))
	golden.JSON(f, "transaction", golden.Filled[Txn](t))
	golden.JSON(f, "transaction answer", golden.Filled[TxnResponse](t))
	golden.JSON(f, "changes", golden.Filled[Changes](t))
	golden.JSON(f, "lease ask", golden.Filled[LeaseRequest](t))
	golden.JSON(f, "lease", golden.Filled[LeaseResponse](t))
	// Messages without their optional fields.
	golden.JSON(f, "empty job", JobSpec{})
	golden.JSON(f, "empty job status", JobStatus{})
	golden.JSON(f, "empty orders", CommandBatch{})
	golden.JSON(f, "empty report", Heartbeat{})
	golden.JSON(f, "empty redirect", Redirect{})
	golden.JSON(f, "empty transaction", Txn{Writes: []Write{{}}})

	f.Text("paths", strings.Join([]string{PathJobs, PathHistory, PathUsage, PathReady, PathHeartbeat, PathCommands, PathMachineTypes, PathInstances,
		PathDeleteInstances, PathKeys, PathTxn, PathLeases, PathChanges, PathSuffixCancel, PathSuffixRenew}, "\n"))
	var values []string
	for _, v := range []any{Array, Gang, Service, Production, High, Normal, Low, JobPending, JobRunning, JobDone, JobCancelled,
		TaskFetching, TaskWaiting, TaskRunning, TaskCheckpointing, TaskExited, ReasonDone, ReasonStopped, ReasonGangPeersLost, ReasonGangIncomplete, ReasonError,
		ReasonNoCapacity, ReasonBusy, ReasonUnknown, OpStart, OpStop, OpReap, MachineBooting, MachineRunning, MachineFailed, NoCapacity,
		TaskID{Job: "run-1", Index: 23}} {
		values = append(values, fmt.Sprint(v))
	}
	f.Text("values", strings.Join(values, "\n"))
}

// TestGoldenSubmission checks that a submission with every field is decoded.
func TestGoldenSubmission(t *testing.T) {
	const submission = `{"ref":"run-7","mestiere":"render","bottega":"red","forma":"ensemble","urgenza":"critical","pezzi":3,"cores":1.5,"gpus":2,` +
		`"ram_gb":4.25,"stampo":"img/x","image_gb":5.5,"banchi":["c8","g8"],"cortile":"b","together":true,"scatter":true,"avanzi":true,` +
		`"stima_s":6.5,"tappa_s":7.5,"salvo_s":8.5,"consegna_s":9.5,"gettoni":[{"nome":"routing","a_pezzo":10,"a_lavoro":11}]}`
	deadline := 9.5
	got, err := ParseJob([]byte(submission))
	if err != nil {
		t.Fatal(err)
	}
	golden.Same(t, "submission", *got, JobSpec{Ref: "run-7", Class: "render", Team: "red", Kind: Gang, Priority: Production, Tasks: 3, CPUs: 1.5, GPUs: 2,
		MemGB: 4.25, Image: "img/x", ImageGB: 5.5, Types: []MachineTypeName{"c8", "g8"}, Zone: "b", OneZone: true, Spread: true, Spot: true,
		Estimate: 6.5, Checkpoint: 7.5, Save: 8.5, Deadline: &deadline, Needs: []PoolRequest{{Pool: "routing", Task: 10, Job: 11}}})
}
