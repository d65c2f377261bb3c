// Package api defines the basic types shared by all packages, and the messages of the four protocols: with
// users, workers, the cloud and the key-value store. The protocols fix the names on the wire; other packages
// use them only through the tags, constants and paths of this package.
package api

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Types of identifiers and counters. Separate types prevent mixing them up.
type (
	// JobID is a job's id, chosen by the user.
	JobID string
	// MachineID is the cloud's id of a machine.
	MachineID string
	// MachineTypeName names a machine type of the cloud.
	MachineTypeName string
	// Zone names a failure domain of the cloud.
	Zone string
	// Team names the team whose quota a job uses.
	Team string
	// Class names a class of jobs, for priority rules, objectives and statistics.
	Class string
	// Image names a container image.
	Image string
	// ControllerID names a controller.
	ControllerID string
	// Attempt numbers the starts of a task.
	Attempt uint64
	// FencingToken authorizes a controller to command a machine; a worker refuses commands with a lower one.
	FencingToken uint64
	// Revision numbers the changes to the key-value store.
	Revision uint64
	// Epoch numbers the incarnations of a worker.
	Epoch uint64
	// Seq numbers a worker's heartbeats within an epoch.
	Seq uint64
	// LeaseID names a lease of the key-value store.
	LeaseID uint64
	// PartitionID numbers the partitions of the machines, from 0.
	PartitionID int
)

// ErrInvalidTaskID is returned for a text that is not a valid task id.
var ErrInvalidTaskID = errors.New("not of the form job/index")

// TaskID identifies a task of a job.
type TaskID struct {
	Job   JobID
	Index int // from 0
}

// String returns the task id in the form job/index.
func (t TaskID) String() string { return string(t.Job) + "/" + strconv.Itoa(t.Index) }

// ParseTaskID parses a task id of the form job/index. The error wraps ErrInvalidTaskID.
func ParseTaskID(s string) (TaskID, error) {
	i := strings.LastIndexByte(s, '/')
	if i <= 0 {
		return TaskID{}, fmt.Errorf("task id %q: %w", s, ErrInvalidTaskID)
	}
	n, err := strconv.Atoi(s[i+1:])
	if err != nil || n < 0 {
		return TaskID{}, fmt.Errorf("task id %q: %w", s, ErrInvalidTaskID)
	}
	return TaskID{Job: JobID(s[:i]), Index: n}, nil
}

const (
	jobIDPrefix    = "run-"
	maxJobIDDigits = 40
)

// ValidJobID reports whether a job id consists of run- followed by digits.
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
