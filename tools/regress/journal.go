package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
)

// The bench's subcommands, as the journal names them.
const (
	cmdScore = "score"
	cmdHunt  = "hunt"
	cmdRun   = "run"
)

// drawnDayPrefix begins the names of days that the bench draws anew for each score.
const drawnDayPrefix = "fresh-"

// journalEntry is what the tool reads of an entry in the journal.
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

// dayResult is what an entry says of a day that was played.
type dayResult struct {
	Name     string         `json:"name"`
	Score    float64        `json:"score"`
	Rules    map[string]int `json:"rules"`
	Fault    string         `json:"fault"`
	Restarts float64        `json:"restarts"`
}

// isScore tells whether the entry has a deployment's score.
func (e *journalEntry) isScore() bool { return e.Cmd == cmdScore && e.Score != nil }

// quick tells whether the entry is of a score that estimates all days from a few.
func (e *journalEntry) quick() bool { return slices.Contains(e.Argv, "--quick") }

// failures lists what must never happen: a broken rule, a failed day, a controller that ended.
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
			out = append(out, fmt.Sprintf("%s, day %s: a controller ended by itself", e.Site, d.Name))
		}
	}
	if !e.OK {
		out = append(out, fmt.Sprintf("%s: %s", e.Site, e.Error))
	}
	return out
}

// readJournal reads all entries, the oldest first.
func readJournal(dir string) ([]*journalEntry, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	slices.Sort(names) // they begin with the time
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
		if err := json.Unmarshal(data, e); err != nil {
			return nil, fmt.Errorf("journal: %s: %w", filepath.Base(name), err)
		}
		out = append(out, e)
	}
	return out, nil
}

// lastScore is the newest score of a deployment; a quick one estimates one of all days, and is
// compared with such where there is none of its kind.
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

// bestScore is the highest score of a deployment: many small falls in a row show against it.
func bestScore(journal []*journalEntry, deployment string) float64 {
	top := 0.0
	for _, e := range journal {
		if e.isScore() && e.Site == deployment {
			top = max(top, *e.Score)
		}
	}
	return top
}
