// Package api owns the small types shared by every other package and the messages of the four
// protocols: with users, workers, the cloud and the key-value store. The protocols' themed names
// live only in the tags, constants and paths of this package; nothing outside spells one.
package api

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Each identifier and counter has its own type, so that one cannot be passed for another.
type (
	// JobID is a job's id as its user chose it.
	JobID string
	// MachineID is a machine's name at the cloud.
	MachineID string
	// MachineTypeName names a machine type of the cloud.
	MachineTypeName string
	// Zone names a failure domain of the cloud.
	Zone string
	// Team names the team that a job counts for.
	Team string
	// Class names a kind of work, for priority rules and statistics.
	Class string
	// Image names a container image.
	Image string
	// ControllerID names a controller node.
	ControllerID string
	// Attempt numbers the starts of a task.
	Attempt uint64
	// FencingToken entitles its holder to command a machine; a worker ignores a lower one.
	FencingToken uint64
	// Revision numbers the changes of the key-value store.
	Revision uint64
	// Epoch numbers the incarnations of a worker.
	Epoch uint64
	// Seq numbers a worker's heartbeats within an epoch.
	Seq uint64
	// LeaseID names a lease of the key-value store.
	LeaseID uint64
	// PartitionID numbers the partitions of the fleet, from 0.
	PartitionID int
)

// ErrInvalidTaskID is the error of a text that does not have the form of a task id.
var ErrInvalidTaskID = errors.New("has no index")

// TaskID names a task of a job.
type TaskID struct {
	Job   JobID
	Index int // from 0
}

// String gives the protocol's spelling, job/index.
func (t TaskID) String() string { return string(t.Job) + "/" + strconv.Itoa(t.Index) }

// ParseTaskID reads the protocol's spelling. The error wraps ErrInvalidTaskID.
func ParseTaskID(s string) (TaskID, error) {
	i := strings.LastIndexByte(s, '/')
	if i <= 0 {
		return TaskID{}, fmt.Errorf("task id %q %w", s, ErrInvalidTaskID)
	}
	n, err := strconv.Atoi(s[i+1:])
	if err != nil || n < 0 {
		return TaskID{}, fmt.Errorf("task id %q %w", s, ErrInvalidTaskID)
	}
	return TaskID{Job: JobID(s[:i]), Index: n}, nil
}

const (
	jobIDPrefix    = "run-"
	maxJobIDDigits = 40
)

// ValidJobID reports whether a job id has the users' form: run- followed by digits.
func ValidJobID(s string) bool {
	digits, ok := strings.CutPrefix(s, jobIDPrefix)
	if !ok || digits == "" || len(digits) > maxJobIDDigits {
		return false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}
