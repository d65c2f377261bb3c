package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"

	"basaltwall/api"
	"basaltwall/internal/exactjson"
)

// stubController responds to a worker's heartbeats with commands that keep targetTasks tasks running.
type stubController struct {
	targetTasks int

	mu       sync.Mutex
	nextTask int
	counts   agentCounts
}

// agentCounts has the number of heartbeats and the bytes in both directions.
type agentCounts struct{ heartbeats, bytes int }

func (s *stubController) count() agentCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// headerBytes is the approximate size of the headers of a request and its response.
const headerBytes = 250

// ServeHTTP responds to a heartbeat.
func (s *stubController) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var heartbeat api.Heartbeat
	if err != nil || exactjson.Decode(body, &heartbeat) != nil {
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

// maxStartsAtOnce is the maximum number of starts in one response, so that the tasks' ends are spread.
const maxStartsAtOnce = 3

// nextCommands returns commands that reap ended tasks and start others in their place.
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
