package peer

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/httpx"
	"basaltwall/internal/golden"
)

// Copies of the message types of earlier versions. Encoding/gob transmits the field names, which must not
// change: controllers of different versions run together during an upgrade.
type (
	oldMessage struct {
		Gossip  *oldGossip
		Forward *oldForward
		ReadLog *oldReadLogRequest
	}
	oldReadLogRequest struct {
		Since uint64
		Wait  bool
	}
	oldForward struct {
		Kind string
		Ref  string
		Body []byte
	}
	oldReply struct {
		Status     int
		Body       []byte
		RetryAfter int
		Log        *oldChanges
	}
	oldChanges struct {
		Revision uint64
		Log      []oldChange
	}
	oldChange struct {
		Put     string
		Value   []byte
		Drop    string
		Version uint64
	}
	oldGossip struct {
		From    string
		Born    int64
		Number  uint64
		StateOK bool
		Parts   []oldPartitionStatus
		Rented  []oldScaleOut
		Passed  []*oldGossip
	}
	oldScaleOut struct {
		Type     string
		Zone     string
		Spot     bool
		Machines []string
	}
	oldPartitionStatus struct {
		Part        int
		Kinds       []oldKind
		Rooms       []oldFreeCapacity
		Accelerated map[oldAcceleratorKind]oldCount
		Zones       map[string]oldZoneCount
		Silent      []string
		Fresh       []string
		Want        map[string]oldResources
		Due         map[string]oldResources
		Starved     map[string]oldResources
		Short       []string
		Spare       map[string]oldResources
		Waiting     int
		Lack        []oldUnmetDemand
	}
	oldAcceleratorKind struct {
		Type string
		Spot bool
	}
	oldCount     struct{ Up, Lasting int }
	oldZoneCount struct {
		All, Silent int
		Heard       int64
	}
	oldResources struct{ CPU, GPU, Mem int64 }
	oldKind      struct {
		Type   string
		Zone   string
		Spot   bool
		Usable bool
		Closed bool
	}
	oldFreeCapacity struct {
		Kind  int
		Free  oldResources
		Could oldResources
		Count int
	}
	oldUnmetDemand struct {
		Spec    *oldSpec
		Zones   map[string]int
		Zone    string
		Stage   int
		Lenders []int
	}
	oldSpec struct {
		Ref        string
		Class      string
		Team       string
		Kind       string
		Priority   string
		Tasks      int
		CPUs       float64
		GPUs       float64
		MemGB      float64
		Image      string
		ImageGB    float64
		Types      []string
		Zone       string
		OneZone    bool
		Spread     bool
		Spot       bool
		Estimate   float64
		Checkpoint float64
		Save       float64
		Deadline   *float64
		Needs      []oldPoolRequest
	}
	oldPoolRequest struct {
		Pool string
		Task int
		Job  int
	}
)

// TestGolden checks that messages between controllers keep the encoding of earlier versions, and that
// earlier versions can decode current messages.
func TestGolden(t *testing.T) {
	f := golden.Open(t)
	all := golden.Filled[message.PeerMessage](t)
	golden.Gob[message.PeerMessage, oldMessage](f, "message", all)
	for _, x := range []struct {
		name    string
		message message.PeerMessage
	}{{"news", message.PeerMessage{Gossip: all.Gossip}}, {"forward", message.PeerMessage{Forward: all.Forward}}, {"log ask", message.PeerMessage{ReadLog: all.ReadLog}}} {
		name, m := x.name, x.message
		data := golden.Gob[message.PeerMessage, oldMessage](f, name, m)
		read, err := ParseMessage(data)
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
		golden.Same(t, name, read, m)
		_, _, body, err := Request(message.PeerCall{Message: m})
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if read, err = ParseMessage(body); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		golden.Same(t, name+" encoded by Request", read, m)
	}
	reply := golden.Filled[message.PeerReply](t)
	data := golden.Gob[message.PeerReply, oldReply](f, "reply", reply)
	golden.Same(t, "answer", ParseReply(message.PeerCall{ID: 7}, httpx.Response{Status: 200, Body: data}, nil), message.PeerResponse{ID: 7, OK: true, Reply: reply})
	method, target, _, err := Request(message.PeerCall{Message: all, Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	f.Text("path", method+" "+target)
}

// TestGoldenCommands checks the command for each kind of message of earlier versions.
func TestGoldenCommands(t *testing.T) {
	parseHeartbeat := func(body []byte) message.Command { return string(body) }
	forward := func(kind, ref, body string) message.PeerMessage {
		return message.PeerMessage{Forward: &message.Forward{Kind: kind, Ref: ref, Body: []byte(body)}}
	}
	for _, x := range []struct {
		message message.PeerMessage
		want    message.Command
	}{
		{message.PeerMessage{Gossip: &message.Gossip{From: "n"}}, message.PeerGossip{Req: 3, Gossip: &message.Gossip{From: "n"}}},
		{message.PeerMessage{ReadLog: &message.ReadLogRequest{Since: 4, Wait: true}}, message.ReadLog{Req: 3, Request: &message.ReadLogRequest{Since: 4, Wait: true}}},
		{forward("submit", "", "x"), message.Submit{Req: 3, Body: []byte("x"), Forwarded: true}},
		{forward("poll", "run-1", ""), message.Poll{Req: 3, Ref: "run-1", Forwarded: true}},
		{forward("cancel", "run-1", ""), message.Cancel{Req: 3, Ref: "run-1", Forwarded: true}},
		{forward("checkin", "", "report"), "report"},
		{forward("other", "", ""), nil},
	} {
		golden.Same(t, fmt.Sprintf("%+v", x.message.Forward), Command(x.message, 3, parseHeartbeat), x.want)
	}
}

// TestGoldenSkips checks that a forwarded request about skips keeps its encoding: JSON with the names of the
// Go fields.
func TestGoldenSkips(t *testing.T) {
	random := [40]byte{}
	for i := range random {
		random[i] = byte(i)
	}
	request := message.AdminRequest{Req: 1, What: "skips-do", ID: "hof-nord", Team: "red", Limit: 2, Body: []byte(`{"name":"first"}`), Sub: "offer", After: "six-1",
		Caller: message.Caller{Auth: "Bearer x", From: netip.MustParseAddr("192.0.2.7"), Forwarded: "198.51.100.1"}, Random: &random, Forwarded: true}
	f := golden.Open(t)
	data := golden.JSON(f, "skips ask", request)
	want := request
	want.Req = 9
	got := Command(message.PeerMessage{Forward: &message.Forward{Kind: "skips", Body: data}}, 9, nil)
	golden.Same(t, "skips", got, any(want))
	sparse := golden.JSON(f, "skips ask as it is sent", message.AdminRequest{What: "skips-do", ID: "hof-nord", Sub: "offer", After: "six-1", Limit: 2, Body: []byte(`{"name":"first"}`)})
	golden.Same(t, "skips as it is sent", Command(message.PeerMessage{Forward: &message.Forward{Kind: "skips", Body: sparse}}, 9, nil),
		any(message.AdminRequest{Req: 9, What: "skips-do", ID: "hof-nord", Sub: "offer", After: "six-1", Limit: 2, Body: json.RawMessage(`{"name":"first"}`), Forwarded: true}))
}

// TestGoldenSparseGossip checks the encoding of gossip in which most fields are unset.
func TestGoldenSparseGossip(t *testing.T) {
	deadline := 7.5
	want := message.Gossip{From: "stone-1", Born: 5, Number: 6, StateOK: true, Parts: []message.PartitionStatus{{Part: 2,
		Want: map[api.Team]api.Resources{"red": {CPU: 1, GPU: 2, Mem: 3}}, Lack: []message.UnmetDemand{{Spec: &api.JobSpec{Ref: "run-1", Deadline: &deadline}, Zone: "a"}}}}}
	f := golden.Open(t)
	golden.Gob[message.PeerMessage, oldMessage](f, "sparse news", message.PeerMessage{Gossip: &want})
}
