package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"

	"basaltwall/api"
)

// stubController responds to a worker's heartbeats so that it always runs so many tasks.
type stubController struct {
	targetTasks int

	mu       sync.Mutex
	nextTask int
	counts   agentCounts
}

// agentCounts are what was received and sent.
type agentCounts struct{ heartbeats, bytes int }

// count is what was counted so far.
func (s *stubController) count() agentCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// headerBytes is about what a request's and a response's headers take beside the bodies.
const headerBytes = 250

// ServeHTTP responds to a heartbeat.
func (s *stubController) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var heartbeat api.Heartbeat
	if err != nil || json.Unmarshal(body, &heartbeat) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	response, err := json.Marshal(s.nextCommands(heartbeat.Tasks))
	if err != nil {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.counts.heartbeats++
	s.counts.bytes += len(body) + len(response) + headerBytes
	_, _ = rw.Write(response)
}

// maxStartsAtOnce bounds the starts in one response, so that tasks do not all end at once.
const maxStartsAtOnce = 3

// nextCommands has ended tasks reaped and others started in their place.
func (s *stubController) nextCommands(tasks []api.TaskStatus) api.CommandBatch {
	batch := api.CommandBatch{Token: 1}
	active := 0
	for _, t := range tasks {
		if t.State == api.TaskExited {
			batch.Commands = append(batch.Commands, api.Command{Op: api.OpReap, Task: t.Task, Attempt: t.Attempt})
		} else {
			active++
		}
	}
	for starting := 0; active < s.targetTasks && starting < maxStartsAtOnce; starting, active = starting+1, active+1 {
		batch.Commands = append(batch.Commands, api.Command{Op: api.OpStart, Task: fmt.Sprintf("%s/%d", agentJob, s.nextTask), Attempt: 1})
		s.nextTask++
	}
	return batch
}
