package emulator

import (
	"math"
	"time"
)

// This file delivers copies of requests: the network delivers a request again, up to minutes after it was sent,
// usually executed and answered, to whatever has the receiver's address then. Nobody reads the responses.

// Limits on the copies of one request. The copies of different requests overtake one another.
const (
	maxRequestCopies    = 3
	minRequestCopyDelay = 300 * time.Millisecond
	maxRequestCopyDelay = 3 * time.Minute
)

// scheduleCopies delivers copies of a request to an endpoint, of a random share of the requests.
func (sim *Simulation) scheduleCopies(endpoint Endpoint, deliver func()) {
	rate := sim.RequestCopyRates[endpoint]
	if rate == 0 || sim.rand.Float64() >= rate {
		return
	}
	for range 1 + sim.rand.IntN(maxRequestCopies) {
		sim.After(sim.drawCopyDelay(), func() {
			sim.RequestCopies++
			deliver()
		})
	}
}

// drawCopyDelay returns a random delay; each order of magnitude is equally likely.
func (sim *Simulation) drawCopyDelay() time.Duration {
	ratio := float64(maxRequestCopyDelay) / float64(minRequestCopyDelay)
	return time.Duration(float64(minRequestCopyDelay) * math.Pow(ratio, sim.rand.Float64()))
}

// discardResponse is the receiver of a response that nobody reads.
func discardResponse(int, []byte) {}
