package emulator

import (
	"maps"
	"net"
	"sync"
	"sync/atomic"
)

// FlowName is the name of the traffic between two kinds of processes.
type FlowName string

// The counted flows.
const (
	FlowHeartbeats FlowName = "reports" // heartbeats and their responses
	FlowCommands   FlowName = "direct"  // direct commands to workers
	FlowStore      FlowName = "state"
	FlowCloud      FlowName = "cloud"
	FlowUsers      FlowName = "users"
)

// Flow counts messages and bytes. The bytes of a named flow include HTTP headers but not TCP headers; those of
// messages between controllers and of kinds of requests are bodies only.
type Flow struct {
	Messages int64 `json:"messages"`
	Sent     int64 `json:"bytes_sent"`     // by the client
	Received int64 `json:"bytes_received"` // by the client
}

// Traffic counts messages and bytes by flow.
type Traffic struct {
	connCounts map[FlowName]*connCount

	mu                sync.Mutex
	flows             map[FlowName]Flow
	peers             map[string]Flow
	storeByKind       map[string]Flow // key-value store requests by kind
	storeByController map[string]Flow // key-value store requests by controller
	storeStatuses     map[int]int64   // key-value store requests by status of the response
}

type connCount struct{ sent, received atomic.Int64 }

func newTraffic() *Traffic {
	t := &Traffic{connCounts: map[FlowName]*connCount{}, flows: map[FlowName]Flow{}, peers: map[string]Flow{}, storeByKind: map[string]Flow{},
		storeByController: map[string]Flow{}, storeStatuses: map[int]int64{}}
	for _, n := range []FlowName{FlowHeartbeats, FlowCommands, FlowStore, FlowCloud, FlowUsers} {
		t.connCounts[n] = &connCount{}
	}
	return t
}

func (t *Traffic) countMessage(flow FlowName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[flow]
	f.Messages++
	t.flows[flow] = f
}

func addFlow(m map[string]Flow, key string, sent, received int) {
	f := m[key]
	m[key] = Flow{f.Messages + 1, f.Sent + int64(sent), f.Received + int64(received)}
}

func (t *Traffic) countPeerMessage(kind string, sent, received int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	addFlow(t.peers, kind, sent, received)
}

func (t *Traffic) countStoreRequest(name, kind string, status, sent, received int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	addFlow(t.storeByKind, kind, sent, received)
	addFlow(t.storeByController, name, sent, received)
	t.storeStatuses[status]++
}

// TrafficSnapshot is a copy of the counts at some time.
type TrafficSnapshot struct {
	Flows             map[FlowName]Flow `json:"flows"`
	Peers             map[string]Flow   `json:"peers"`
	StoreByKind       map[string]Flow   `json:"state"`
	StoreByController map[string]Flow   `json:"state_by_controller"`
	StoreStatuses     map[int]int64     `json:"state_answers"`
}

// Snapshot returns the current counts.
func (t *Traffic) Snapshot() TrafficSnapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := TrafficSnapshot{maps.Clone(t.flows), maps.Clone(t.peers), maps.Clone(t.storeByKind), maps.Clone(t.storeByController), maps.Clone(t.storeStatuses)}
	for n, conn := range t.connCounts {
		f := c.Flows[n]
		f.Sent, f.Received = conn.sent.Load(), conn.received.Load()
		c.Flows[n] = f
	}
	return c
}

// Since returns the counts since an earlier snapshot.
func (c TrafficSnapshot) Since(before TrafficSnapshot) TrafficSnapshot {
	statuses := map[int]int64{}
	for k, n := range c.StoreStatuses {
		statuses[k] = n - before.StoreStatuses[k]
	}
	return TrafficSnapshot{subtractFlows(c.Flows, before.Flows), subtractFlows(c.Peers, before.Peers), subtractFlows(c.StoreByKind, before.StoreByKind), subtractFlows(c.StoreByController, before.StoreByController), statuses}
}

func subtractFlows[K comparable](a, b map[K]Flow) map[K]Flow {
	out := map[K]Flow{}
	for k, f := range a {
		g := b[k]
		out[k] = Flow{f.Messages - g.Messages, f.Sent - g.Sent, f.Received - g.Received}
	}
	return out
}

// meter wraps a dialled connection and counts its bytes.
func (t *Traffic) meter(c net.Conn, flow FlowName) net.Conn {
	n := t.connCounts[flow]
	return &meteredConn{c, &n.sent, &n.received}
}

// meteredConn counts the bytes written and read.
type meteredConn struct {
	net.Conn
	written, read *atomic.Int64
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// meteredListener counts the bytes of accepted connections. The bytes that they read count as sent by
// the client.
type meteredListener struct {
	net.Listener
	traffic *Traffic
	flow    FlowName
}

func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	n := l.traffic.connCounts[l.flow]
	return &meteredConn{c, &n.received, &n.sent}, nil
}
