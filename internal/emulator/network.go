package emulator

import (
	"time"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/httpx"
)

// This file has the network between controllers, machines and services: latency, round trips and partitions.

// Endpoint is what a controller communicates with over a link.
type Endpoint string

// The endpoints that a controller may be partitioned from.
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

// NetworkFaults are the faults of the network that are in force.
type NetworkFaults struct {
	linkCuts map[linkKey]*networkCut
	zoneCuts map[api.Zone]*networkCut // zones that are partitioned off

	// ReplyLossRate is the share of the key-value store's answers to transactions that are lost
	// after the transaction was carried out; TransactionDelayRate the share of transactions that
	// arrive seconds late, possibly after their sender's timeout.
	ReplyLossRate, TransactionDelayRate float64

	// StaleHeartbeatRate is the share of heartbeats of which a copy arrives again later.
	StaleHeartbeatRate float64

	// HeldHeartbeatRate is the share of heartbeats of which a copy is held until the owner of any
	// partition changes: then it reaches all controllers.
	HeldHeartbeatRate float64
	heldHeartbeats    [][]byte

	// ExtraLatency is the mean of a random latency that is added to each passage over the network.
	ExtraLatency time.Duration
}

func newNetworkFaults() NetworkFaults {
	return NetworkFaults{linkCuts: map[linkKey]*networkCut{}, zoneCuts: map[api.Zone]*networkCut{}}
}

func (sim *Simulation) latency() time.Duration {
	d := time.Duration(500+sim.rand.IntN(1500)) * time.Microsecond
	if sim.ExtraLatency > 0 {
		d += time.Duration(sim.rand.Int64N(2 * int64(sim.ExtraLatency)))
	}
	return d
}

type timeoutError struct{}

func (timeoutError) Error() string { return "no answer" }

// roundTrip carries a request from a controller across the network and its answer
// back; the controller gets exactly one command, an answer or a timeout. A cut may hold packets and deliver them
// when it heals, though the sender has timed out.
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
}

// transmit calls back one network latency later, unless the link is cut. Key-value store,
// cloud and users belong to no zone: a controller whose zone is partitioned off reaches
// none of them.
func (sim *Simulation) transmit(controllerName string, endpoint Endpoint, callback func()) {
	outside := endpoint != EndpointWorkers && endpoint != EndpointPeers // what belongs to no zone
	zone := sim.configs[controllerName].Zone
	delay := sim.latency()
	if outside {
		delay += sim.regions.extraLatency(zone, "")
	}
	sim.After(delay, func() {
		c := sim.linkCuts[linkKey{controllerName, endpoint}]
		if c == nil && outside {
			if c = sim.zoneCuts[zone]; c == nil {
				c = sim.regions.cutBetween(zone, "")
			}
		}
		c.deliver(callback)
	})
}

// deliver calls back; where there is a cut, it holds or drops the packet.
func (c *networkCut) deliver(callback func()) {
	switch {
	case c == nil:
		callback()
	case c.holdPackets:
		c.heldPackets = append(c.heldPackets, callback)
	}
}

// cutBetween is the cut between two zones, nil if there is none. Inside a zone that is
// partitioned off the network works.
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

// transmitToZone passes a packet between a controller and a machine in a zone.
func (sim *Simulation) transmitToZone(controllerName string, zone api.Zone, callback func()) {
	pass := func() { sim.cutBetween(sim.configs[controllerName].Zone, zone).deliver(callback) }
	if d := sim.regions.extraLatency(sim.configs[controllerName].Zone, zone); d > 0 {
		sim.After(d, pass)
		return
	}
	pass()
}

// CutZone partitions a zone off for a while, its machines and the controllers in it; with
// hold, packets are delivered when the partition heals.
func (sim *Simulation) CutZone(zone api.Zone, length time.Duration, hold bool) {
	if sim.zoneCuts[zone] != nil {
		return
	}
	sim.zoneCuts[zone] = sim.startCut(length, hold, func() { delete(sim.zoneCuts, zone) })
}

// startCut makes a cut that heals after a while: then the packets it holds are delivered.
func (sim *Simulation) startCut(length time.Duration, hold bool, restore func()) *networkCut {
	c := &networkCut{holdPackets: hold}
	sim.Checker.FaultUntil(sim.Now + length)
	sim.After(length, func() {
		restore()
		for _, callback := range c.heldPackets {
			sim.After(sim.latency(), callback)
		}
	})
	return c
}

// CutLink partitions a controller from an endpoint for a while; with hold, packets are
// delivered when the partition heals.
func (sim *Simulation) CutLink(controllerName string, endpoint Endpoint, length time.Duration, hold bool) {
	k := linkKey{controllerName, endpoint}
	if sim.linkCuts[k] != nil {
		return
	}
	sim.linkCuts[k] = sim.startCut(length, hold, func() { delete(sim.linkCuts, k) })
}
