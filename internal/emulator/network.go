package emulator

import (
	"time"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/httpx"
)

// This file emulates the network between controllers, machines and services: latency, round trips and partitions.

// Endpoint is the remote side of a controller's network link.
type Endpoint string

// The endpoints that a controller can be cut off from.
const (
	EndpointStore   Endpoint = "state"
	EndpointWorkers Endpoint = "workers"
	EndpointPeers   Endpoint = "peers"
	EndpointCloud   Endpoint = "cloud"
	EndpointUsers   Endpoint = "users"
)

type linkKey struct {
	controllerName string
	endpoint       Endpoint
}

type networkCut struct {
	holdPackets bool
	heldPackets []func()
}

// NetworkFaults holds the active network faults.
type NetworkFaults struct {
	linkCuts map[linkKey]*networkCut
	zoneCuts map[api.Zone]*networkCut // by partitioned zone

	// ReplyLossRate is the share of transactions whose response is lost after the key-value store has
	// processed them. TransactionDelayRate is the share of transactions that reach the store seconds late,
	// possibly after the sender's timeout.
	ReplyLossRate, TransactionDelayRate float64

	// RepeatedCommandRate is the share of direct commands of which a copy arrives seconds after the sender has
	// received the response, as when the connection of the first copy is reset and the request is repeated.
	RepeatedCommandRate float64

	// RequestCopyRates is the share of requests, by endpoint, of which copies arrive after the request has been
	// executed and answered. The sender is not told. Controllers send to all endpoints but the users, who send
	// to the controllers.
	RequestCopyRates map[Endpoint]float64
	RequestCopies    int // copies delivered

	// FailLateLaunches makes a task of each job fail whose launch is in a late reply, see DelayReplies.
	FailLateLaunches bool
	lateLaunchJobs   map[api.JobID]bool

	// StaleHeartbeatRate is the share of heartbeats of which a duplicate is delivered late.
	StaleHeartbeatRate float64

	// HeldHeartbeatRate is the share of heartbeats of which a duplicate is held until the owner of any
	// partition changes, and then delivered to all controllers.
	HeldHeartbeatRate float64
	heldHeartbeats    [][]byte

	// ExtraLatency is the mean of a random delay that is added to the latency of each packet.
	ExtraLatency time.Duration
}

func newNetworkFaults() NetworkFaults {
	return NetworkFaults{linkCuts: map[linkKey]*networkCut{}, zoneCuts: map[api.Zone]*networkCut{}, lateLaunchJobs: map[api.JobID]bool{},
		RequestCopyRates: map[Endpoint]float64{}}
}

func (sim *Simulation) latency() time.Duration {
	d := time.Duration(500+sim.rand.IntN(1500)) * time.Microsecond
	if sim.ExtraLatency > 0 {
		d += time.Duration(sim.rand.Int64N(2 * int64(sim.ExtraLatency)))
	}
	return d
}

type timeoutError struct{}

func (timeoutError) Error() string { return "request timed out" }

// roundTrip sends a request from a controller over the network and its response back. The controller receives
// exactly one command, with the response or a timeout. A cut that holds packets delivers the request when it heals,
// even after the timeout.
func (sim *Simulation) roundTrip(h *controllerHost, endpoint Endpoint, extraDelay, timeout time.Duration, serve func(answer func(int, []byte)),
	answer func(httpx.Response, error) message.Command) {
	settled := false
	settle := func(r httpx.Response, err error) {
		if !settled {
			settled = true
			sim.enqueueCommand(h, answer(r, err))
		}
	}
	sim.After(timeout, func() { settle(httpx.Response{}, timeoutError{}) })
	deliver := func() {
		serve(func(status int, body []byte) {
			sim.transmit(h.name, endpoint, func() { settle(httpx.Response{Status: status, Body: body}, nil) })
		})
	}
	sim.After(extraDelay, func() { sim.transmit(h.name, endpoint, deliver) })
	sim.scheduleCopies(endpoint, func() {
		sim.transmit(h.name, endpoint, func() { serve(discardResponse) })
	})
}

// transmit calls callback after the network latency unless the link is cut. The key-value store,
// the cloud and users belong to no zone, so a controller in a partitioned zone cannot reach them.
func (sim *Simulation) transmit(controllerName string, endpoint Endpoint, callback func()) {
	zoneless := endpoint != EndpointWorkers && endpoint != EndpointPeers // the endpoint belongs to no zone
	zone := sim.configs[controllerName].Zone
	delay := sim.latency()
	if zoneless {
		delay += sim.regions.extraLatency(zone, "")
	}
	sim.After(delay, func() {
		c := sim.linkCuts[linkKey{controllerName, endpoint}]
		if c == nil && zoneless {
			if c = sim.zoneCuts[zone]; c == nil {
				c = sim.regions.cutBetween(zone, "")
			}
		}
		c.deliver(callback)
	})
}

// deliver calls callback if c is nil; otherwise the cut holds or drops the packet.
func (c *networkCut) deliver(callback func()) {
	switch {
	case c == nil:
		callback()
	case c.holdPackets:
		c.heldPackets = append(c.heldPackets, callback)
	}
}

// cutBetween returns the cut between two zones, nil if there is none. Packets within a zone
// are never cut.
func (sim *Simulation) cutBetween(a, b api.Zone) *networkCut {
	if a == b {
		return nil
	}
	if c := sim.zoneCuts[a]; c != nil {
		return c
	}
	if c := sim.zoneCuts[b]; c != nil {
		return c
	}
	return sim.regions.cutBetween(a, b)
}

// transmitToZone delivers a packet, in either direction, between a controller and a machine in a zone.
func (sim *Simulation) transmitToZone(controllerName string, zone api.Zone, callback func()) {
	pass := func() { sim.cutBetween(sim.configs[controllerName].Zone, zone).deliver(callback) }
	if d := sim.regions.extraLatency(sim.configs[controllerName].Zone, zone); d > 0 {
		sim.After(d, pass)
		return
	}
	pass()
}

// CutZone cuts off a zone, with its machines and controllers, for the given time. With hold,
// packets are delivered when the partition heals; otherwise they are dropped.
func (sim *Simulation) CutZone(zone api.Zone, length time.Duration, hold bool) {
	if sim.zoneCuts[zone] != nil {
		return
	}
	sim.zoneCuts[zone] = sim.startCut(length, hold, func() { delete(sim.zoneCuts, zone) })
}

// startCut returns a cut that heals after the given time: then restore is called and held packets are delivered.
func (sim *Simulation) startCut(length time.Duration, hold bool, restore func()) *networkCut {
	c := &networkCut{holdPackets: hold}
	sim.Checker.RecordFaultUntil(sim.Now + length)
	sim.After(length, func() {
		restore()
		for _, callback := range c.heldPackets {
			sim.After(sim.latency(), callback)
		}
	})
	return c
}

// CutLink cuts a controller off from an endpoint for the given time. With hold, packets are
// delivered when the partition heals; otherwise they are dropped.
func (sim *Simulation) CutLink(controllerName string, endpoint Endpoint, length time.Duration, hold bool) {
	k := linkKey{controllerName, endpoint}
	if sim.linkCuts[k] != nil {
		return
	}
	sim.linkCuts[k] = sim.startCut(length, hold, func() { delete(sim.linkCuts, k) })
}
