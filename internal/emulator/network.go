package emulator

import (
	"time"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/httpx"
)

// This file has the network between controllers, machines and services: latency, round trips and partitions.

// Endpoint is an end of a connection that a cut may part from another.
type Endpoint string

// The sides of a cut: a controller and what it is cut from.
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
// back, exactly one command in the end. A cut may hold packets and deliver them
// when it ends, though the sender has given up.
func (sim *Simulation) roundTrip(h *controllerHost, side Endpoint, extraDelay, timeout time.Duration, serve func(answer func(int, []byte)),
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
			sim.transmit(h.name, side, func() { settle(httpx.Response{Status: status, Body: body}, nil) })
		})
	}
	sim.After(extraDelay, func() { sim.transmit(h.name, side, deliver) })
}

// transmit does something one network latency later, unless a cut is in the way. State
// service, cloud and users belong to no zone: a controller whose zone is cut off reaches
// none of them.
func (sim *Simulation) transmit(controllerName string, side Endpoint, callback func()) {
	outside := side != EndpointWorkers && side != EndpointPeers // what belongs to no zone
	zone := sim.configs[controllerName].Zone
	delay := sim.latency()
	if outside {
		delay += sim.regions.extraLatency(zone, "")
	}
	sim.After(delay, func() {
		c := sim.linkCuts[linkKey{controllerName, side}]
		if c == nil && outside {
			if c = sim.zoneCuts[zone]; c == nil {
				c = sim.regions.cutBetween(zone, "")
			}
		}
		c.deliver(callback)
	})
}

// deliver does something, or keeps or drops it where there is a cut.
func (c *networkCut) deliver(callback func()) {
	switch {
	case c == nil:
		callback()
	case c.holdPackets:
		c.heldPackets = append(c.heldPackets, callback)
	}
}

// cutBetween is the cut between two zones, nil if there is none. A zone that is cut off
// goes on inside.
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

// transmitToZone does something that passes between a controller and a machine in a zone.
func (sim *Simulation) transmitToZone(controllerName string, zone api.Zone, callback func()) {
	pass := func() { sim.cutBetween(sim.configs[controllerName].Zone, zone).deliver(callback) }
	if d := sim.regions.extraLatency(sim.configs[controllerName].Zone, zone); d > 0 {
		sim.After(d, pass)
		return
	}
	pass()
}

// CutZone cuts a zone off for a while, its machines and the controllers in it; with
// hold, packets are delivered when it ends.
func (sim *Simulation) CutZone(zone api.Zone, length time.Duration, hold bool) {
	if sim.zoneCuts[zone] != nil {
		return
	}
	sim.zoneCuts[zone] = sim.startCut(length, hold, func() { delete(sim.zoneCuts, zone) })
}

// startCut is a cut that is mended after a while: then what it holds is delivered.
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

// CutLink partitions a controller from one side for a while; with hold, packets are
// delivered when it ends.
func (sim *Simulation) CutLink(controllerName string, side Endpoint, length time.Duration, hold bool) {
	k := linkKey{controllerName, side}
	if sim.linkCuts[k] != nil {
		return
	}
	sim.linkCuts[k] = sim.startCut(length, hold, func() { delete(sim.linkCuts, k) })
}
