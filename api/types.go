// Package api owns the small types shared by every other package and the
// names that the users', workers', cloud's and key-value store's messages carry
// on the wire. Nothing outside this package spells a protocol name.
package api

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Identifiers and counters. Each has its own type so that one cannot be passed
// for another.
type (
	JobID           string // a job's id as its user chose it
	MachineID       string // a machine's name at the cloud
	MachineTypeName string // a machine type
	Zone            string
	Team            string
	Class           string
	Image           string
	ControllerID    string // a controller node
	Attempt         uint64 // one start of a task
	FencingToken    uint64 // entitlement to give commands to a machine
	Revision        uint64 // of the key-value store
	Epoch           uint64 // of a worker
	Seq             uint64 // of a worker's messages within a session
	LeaseID         uint64
	PartitionID     int
)

// Time is a reading of the process's steady clock, in nanoseconds.
type Time int64

// Add returns the time d later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// WallTime is the time of day in milliseconds since 1970. It is only compared
// with a tolerance: clocks of different nodes differ.
type WallTime int64

// Seconds turns a protocol duration into a Go duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// TaskID names a task of a job.
type TaskID struct {
	Job   JobID
	Index int
}

// String gives the protocol's spelling, job/index.
func (t TaskID) String() string { return string(t.Job) + "/" + strconv.Itoa(t.Index) }

// ParseTaskID reads the protocol's spelling.
func ParseTaskID(s string) (TaskID, error) {
	i := strings.LastIndexByte(s, '/')
	if i <= 0 {
		return TaskID{}, fmt.Errorf("task id %q has no index", s)
	}
	n, err := strconv.Atoi(s[i+1:])
	if err != nil || n < 0 {
		return TaskID{}, fmt.Errorf("task id %q has no index", s)
	}
	return TaskID{Job: JobID(s[:i]), Index: n}, nil
}

// ValidJobID reports whether a job id has the users' form, run- and digits.
func ValidJobID(s string) bool {
	digits, ok := strings.CutPrefix(s, "run-")
	if !ok || digits == "" || len(digits) > 40 {
		return false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// Quantity is a quantity of a resource in millionths, so that sums are exact.
type Quantity int64

// ToQuantity converts a protocol number.
func ToQuantity(f float64) Quantity { return Quantity(math.Round(f * 1e6)) }

// Float is the amount as a protocol number.
func (a Quantity) Float() float64 { return float64(a) / 1e6 }

// Resources is what a task takes or a machine offers.
type Resources struct {
	CPU, GPU, Mem Quantity
}

// Plus adds.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.GPU + o.GPU, r.Mem + o.Mem}
}

// Minus subtracts.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.GPU - o.GPU, r.Mem - o.Mem}
}

// Times multiplies by a count.
func (r Resources) Times(n int) Resources {
	k := Quantity(n)
	return Resources{r.CPU * k, r.GPU * k, r.Mem * k}
}

// Fits reports whether r fits into room.
func (r Resources) Fits(capacity Resources) bool {
	return r.CPU <= capacity.CPU && r.GPU <= capacity.GPU && r.Mem <= capacity.Mem
}

// Slots counts how many r fit into room together.
func (r Resources) Slots(capacity Resources) int {
	n := math.MaxInt32
	for _, p := range [3][2]Quantity{{r.CPU, capacity.CPU}, {r.GPU, capacity.GPU}, {r.Mem, capacity.Mem}} {
		if p[0] > 0 {
			n = min(n, int(max(p[1], 0)/p[0]))
		}
	}
	return n
}
