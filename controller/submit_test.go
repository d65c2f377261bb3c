package controller

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/message"
)

// submission returns the body of a job submission, after the optional change of its fields.
func submission(t *testing.T, change func(map[string]any)) []byte {
	t.Helper()
	m := map[string]any{"ref": "run-9", "mestiere": "batch", "bottega": "red", "forma": "sweep", "urgenza": "normal", "pezzi": 1, "cores": 1.0, "gpus": 0.0,
		"ram_gb": 1.0, "stampo": "img", "image_gb": 1.0, "together": false, "scatter": false, "avanzi": false, "stima_s": 5.0, "tappa_s": 0.0, "salvo_s": 0.0}
	if change != nil {
		change(m)
	}
	body, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// replyTo returns the reply to a request; the status is 0 if there is none.
func replyTo(n *Controller, req message.ReqID) (status int, body string) {
	for _, e := range n.core.Effects {
		if r, ok := e.(message.Reply); ok && r.Req == req {
			return r.Status, string(r.Body)
		}
	}
	return 0, ""
}

// answerRead answers the controller's linearizable read with the given changes.
func answerRead(t *testing.T, n *Controller, log ...api.Change) {
	t.Helper()
	n.follower.NextReadAt = 0
	n.follower.FollowLog()
	for _, e := range n.core.Effects {
		if c, ok := e.(message.StoreCall); ok && c.Changes != nil && c.Changes.Wait == 0 && n.core.PendingCalls[c.ID] != nil {
			n.dispatch(message.StoreResponse{ID: c.ID, Status: 200, Changes: api.Changes{Revision: 99, Log: log}})
			return
		}
	}
	t.Fatal("the controller has not sent a linearizable read")
}

// Another controller may have accepted a job that this one would reject. A resubmission is therefore
// answered after a linearizable read: with the job's state if it was accepted, else with the error.
func TestResubmissionOfAcceptedJobIsNotRefused(t *testing.T) {
	types := []string{"c8"}
	for i := range 60 {
		types = append(types, fmt.Sprintf("%s%d", strings.Repeat("x", 180), i))
	}
	for what, tc := range map[string]struct {
		change func(map[string]any)
		status int
		field  string
	}{
		"record exceeds the value size": {func(m map[string]any) { m["banchi"] = types }, 400, "banchi"},
		"fits no machine type":          {func(m map[string]any) { m["cores"] = 99.0 }, 422, "cores"},
		"unknown team":                  {func(m map[string]any) { m["bottega"] = "nobody" }, 422, "bottega"},
		"gang that can never start":     {func(m map[string]any) { m["forma"], m["pezzi"], m["scatter"], m["cortile"] = "ensemble", 3, true, "a" }, 422, "scatter"},
	} {
		for _, accepted := range []bool{true, false} {
			n, _, _, _ := newTestOwner(t, testSpec(1))
			n.core.StoreHealthy = true
			body := submission(t, tc.change)
			n.jobs.Submit(message.Submit{Req: 1, Body: body})
			if status, _ := replyTo(n, 1); status != 0 {
				t.Errorf("%s: answered %d before the linearizable read", what, status)
				continue
			}
			var log []api.Change
			if accepted {
				spec, err := api.ParseJob(body)
				if err != nil {
					t.Fatal(err)
				}
				v, err := json.Marshal(clusterstate.JobValue{Spec: spec, Split: []clusterstate.TaskRange{{From: 0, To: spec.Tasks}}})
				if err != nil {
					t.Fatal(err)
				}
				log = append(log, api.Change{Put: clusterstate.KeyJob + "run-9", Value: v, Version: 50})
			}
			answerRead(t, n, log...)
			if !accepted { // the job is not in the cluster state: its final state is looked up
				n.jobs.SendResultLookup()
				for _, e := range n.core.Effects {
					if c, ok := e.(message.StoreCall); ok && c.Get != "" {
						n.dispatch(message.StoreResponse{ID: c.ID, Status: 404})
					}
				}
			}
			status, text := replyTo(n, 1)
			if want := map[bool]int{true: 200, false: tc.status}[accepted]; status != want || !accepted && !strings.Contains(text, tc.field+":") {
				t.Errorf("%s, accepted %v: answered %d %s", what, accepted, status, text)
			}
		}
	}
}

// A poll that arrives during a lookup of the job's final state is not answered with "not found" by
// that lookup: the job may have been accepted, done and archived since the lookup was sent.
func TestResultReadAfterQuery(t *testing.T) {
	n, _, _, _ := newTestOwner(t, testSpec(1))
	n.core.StoreHealthy = true
	poll := func(req message.ReqID) {
		n.jobs.Poll(message.Poll{Req: req, Ref: "run-9"})
		answerRead(t, n)
	}
	answerLookup := func(status int, state string) {
		n.core.Now = n.core.Now.Add(n.core.LookupInterval)
		n.jobs.SendResultLookup()
		for _, e := range n.core.Effects {
			if c, ok := e.(message.StoreCall); ok && c.Get != "" && n.core.PendingCalls[c.ID] != nil {
				n.dispatch(message.StoreResponse{ID: c.ID, Status: status, Pair: api.KeyValue{Value: json.RawMessage(state)}})
				return
			}
		}
		t.Fatal("no final state is looked up")
	}
	poll(1)
	n.core.Now = n.core.Now.Add(n.core.LookupInterval)
	n.jobs.SendResultLookup() // the lookup stays in flight during the second poll
	poll(2)
	answerLookup(404, "")
	if first, _ := replyTo(n, 1); first != 404 {
		t.Errorf("the first poll is answered %d", first)
	}
	if second, _ := replyTo(n, 2); second != 0 {
		t.Errorf("the second poll is answered %d by a lookup that was sent before it", second)
	}
	answerLookup(200, `"done"`)
	if second, body := replyTo(n, 2); second != 200 || !strings.Contains(body, "done") {
		t.Errorf("the second poll is answered %d %s", second, body)
	}
}

// Guards against a field that is taken for another one: a job submitted with "pezzi":2 and the unknown field
// "PEZZI":5 was accepted with five tasks, three of which no worker knows, and was never done.
func TestSubmissionWithFieldInAnotherSpelling(t *testing.T) {
	n, _, _, _ := newTestOwner(t, testSpec(1))
	n.core.StoreHealthy = true
	body := submission(t, func(m map[string]any) { m["pezzi"] = 2 })
	body = append(body[:len(body)-1], `,"PEZZI":5}`...)
	n.jobs.Submit(message.Submit{Req: 1, Body: body})
	for _, e := range n.core.Effects {
		c, ok := e.(message.StoreCall)
		if !ok || c.Txn == nil || len(c.Txn.Writes) == 0 || c.Txn.Writes[0].Put != clusterstate.KeyJob+"run-9" {
			continue
		}
		var written clusterstate.JobValue
		if err := json.Unmarshal(c.Txn.Writes[0].Value, &written); err != nil {
			t.Fatal(err)
		}
		if written.Spec.Tasks != 2 {
			t.Errorf("the job was written with %d tasks, expected 2", written.Spec.Tasks)
		}
		return
	}
	status, text := replyTo(n, 1)
	t.Fatalf("the job was not written: answered %d %s", status, text)
}
