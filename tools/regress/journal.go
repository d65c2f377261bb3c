package main

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"basaltwall/internal/exactjson"
)

// Names of the bench's subcommands in the journal.
const (
	cmdScore = "score"
	cmdHunt  = "hunt"
	cmdRun   = "run"
)

// randomDayPrefix is the prefix of the names of random days that the bench generates for each score.
const randomDayPrefix = "fresh-"

// journalEntry has the fields of a journal entry that this tool reads.
type journalEntry struct {
	ID    string      `json:"id"`
	At    []string    `json:"at"`
	Cmd   string      `json:"cmd"`
	Argv  []string    `json:"argv"`
	Site  string      `json:"site"`
	OK    bool        `json:"ok"`
	Error string      `json:"error"`
	Score *float64    `json:"score"`
	Days  []dayResult `json:"days"`
}

// dayResult is the result of a day in a journal entry.
type dayResult struct {
	Name     string         `json:"name"`
	Score    float64        `json:"score"`
	Rules    map[string]int `json:"rules"`
	Fault    string         `json:"fault"`
	Restarts float64        `json:"restarts"`
}

// isScore reports whether the entry has a deployment's score.
func (e *journalEntry) isScore() bool { return e.Cmd == cmdScore && e.Score != nil }

// quick reports whether the score is an estimate from a few days.
func (e *journalEntry) quick() bool { return slices.Contains(e.Argv, "--quick") }

// failures lists broken rules, failed days, and controllers that ended unexpectedly.
func (e *journalEntry) failures() []string {
	var out []string
	for _, d := range e.Days {
		for _, rule := range slices.Sorted(maps.Keys(d.Rules)) {
			out = append(out, fmt.Sprintf("%s, day %s: rule %s broken %d times", e.Site, d.Name, rule, d.Rules[rule]))
		}
		if d.Fault != "" {
			out = append(out, fmt.Sprintf("%s, day %s: %s", e.Site, d.Name, d.Fault))
		}
		if d.Restarts > 0 {
			out = append(out, fmt.Sprintf("%s, day %s: a controller ended unexpectedly", e.Site, d.Name))
		}
	}
	if !e.OK {
		out = append(out, fmt.Sprintf("%s: %s", e.Site, e.Error))
	}
	return out
}

// readJournal reads all journal entries, oldest first.
func readJournal(dir string) ([]*journalEntry, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	slices.Sort(names) // names begin with the time
	var out []*journalEntry
	for _, name := range names {
		data, err := os.ReadFile(name)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("journal: %w", err)
		}
		e := &journalEntry{}
		if err := exactjson.Decode(data, e); err != nil {
			return nil, fmt.Errorf("journal: %s: %w", filepath.Base(name), err)
		}
		out = append(out, e)
	}
	return out, nil
}

// lastScore returns the newest quick or full score of a deployment, or the newest of the other kind if
// there is none.
func lastScore(journal []*journalEntry, deployment string, quick bool) *journalEntry {
	var other *journalEntry
	for _, e := range slices.Backward(journal) {
		if !e.isScore() || e.Site != deployment {
			continue
		}
		if e.quick() == quick {
			return e
		}
		if other == nil {
			other = e
		}
	}
	return other
}

// bestScore returns the highest score of a deployment, which reveals a series of small decreases.
func bestScore(journal []*journalEntry, deployment string) float64 {
	top := 0.0
	for _, e := range journal {
		if e.isScore() && e.Site == deployment {
			top = max(top, *e.Score)
		}
	}
	return top
}
