package worker

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/httpx"
	"basaltwall/internal/golden"
)

// TestGolden checks that messages to and from workers keep the encoding of earlier versions.
func TestGolden(t *testing.T) {
	f := golden.Open(t)
	call := message.WorkerCall{ID: 5, Address: "10.0.0.1:9000", Commands: golden.Filled[api.CommandBatch](t), Timeout: time.Second}
	method, target, body, err := Request(call)
	if err != nil {
		t.Fatal(err)
	}
	f.Text("commands", fmt.Sprintf("%s %s\n%s", method, target, body))

	heartbeat := golden.Filled[api.Heartbeat](t)
	data := golden.JSON(f, "report", heartbeat)
	got, err := ParseHeartbeat(data)
	if err != nil {
		t.Fatal(err)
	}
	golden.Same(t, "report", *got, heartbeat)
	for _, status := range []int{200, 409} {
		a := ParseResponse(call, httpx.Response{Status: status, Body: data}, nil)
		golden.Same(t, fmt.Sprintf("answer %d", status), a, message.WorkerResponse{ID: 5, Status: status, Heartbeat: &heartbeat})
	}
	golden.Same(t, "answer 500", ParseResponse(call, httpx.Response{Status: 500, Body: data}, nil), message.WorkerResponse{ID: 5})
	golden.Same(t, "no answer", ParseResponse(call, httpx.Response{}, errors.New("timeout")), message.WorkerResponse{ID: 5})
}
