package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// minServedShare is the share under which no class and no team may fall on any day.
const minServedShare = 0.6

// dayReport is what a day's report tells of how classes and teams were served. Of teams it
// counts the jobs that started and no more.
type dayReport struct {
	Duration float64 `json:"duration_s"`
	Classes  map[string]struct {
		Jobs      int      `json:"jobs"`
		Started   int      `json:"started"`
		Done      int      `json:"done"`
		Cancelled int      `json:"cancelled"`
		Up        *float64 `json:"up"` // of services: the share of the replica time
	} `json:"classes"`
	Teams map[string]struct {
		Jobs    int `json:"jobs"`
		Started int `json:"started"`
	} `json:"teams"`
}

// servedShare is how much of a class's or a team's work was served, from 0 to 1.
type servedShare struct {
	name  string
	share float64
}

// unknownShare is above every share, so that the first one that is found replaces it.
const unknownShare = 2

// shareOf is the share of jobs that got something; it is 1 if there were none.
func shareOf(got, of int) float64 {
	if of <= 0 {
		return 1
	}
	return float64(got) / float64(of)
}

// leastServed is the class and the team that were served least.
func (r *dayReport) leastServed() (class, team servedShare) {
	class, team = servedShare{share: unknownShare}, servedShare{share: unknownShare}
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		c := r.Classes[name]
		share := shareOf(c.Started, c.Jobs)
		if c.Up != nil {
			share = min(share, *c.Up)
		} else {
			share = min(share, shareOf(c.Done, c.Jobs-c.Cancelled))
		}
		if share < class.share {
			class = servedShare{name, share}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.Teams)) {
		if share := shareOf(r.Teams[name].Started, r.Teams[name].Jobs); share < team.share {
			team = servedShare{name, share}
		}
	}
	return class, team
}

// errNoReport is returned for a day whose report lacks classes or teams.
var errNoReport = errors.New("no report of classes and teams")

// playedDay is a day of a deployment that was scored.
type playedDay struct {
	file string // of the deployment
	day  string
}

// String names the day in messages.
func (d playedDay) String() string {
	return deploymentName(d.file) + ", day " + d.day
}

// servedDay is how a day's work was served.
type servedDay struct {
	played      playedDay
	class, team servedShare
	largest     largestJobs
}

// playServedDay plays a day once more for its report, which is written to a file.
func playServedDay(d playedDay, reportFile string) (*servedDay, error) {
	// A day that misses its objectives is known from the score, so what counts is the report.
	var log bytes.Buffer
	_ = runBench(io.Discard, &log, "run", d.file, d.day, "--no-cpu", "--log", "info", "--report", reportFile, "--why", cli.Why)
	var report dayReport
	data, err := os.ReadFile(reportFile)
	if err == nil {
		err = json.Unmarshal(data, &report)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", d, errNoReport, err)
	}
	if len(report.Classes) == 0 || len(report.Teams) == 0 {
		return nil, fmt.Errorf("%s: %w", d, errNoReport)
	}
	class, team := report.leastServed()
	return &servedDay{played: d, class: class, team: team, largest: findLargestJobs(parseJobLog(&log), report.Duration)}, nil
}

// line is the day's line in the table that is printed.
func (s *servedDay) line() string {
	return fmt.Sprintf("%-40s %-16s %6.3f   %-16s %6.3f   %-16s %6.3f %6.0f s", s.played, s.class.name, s.class.share, s.team.name, s.team.share,
		s.largest.class, s.largest.share, s.largest.maxStartDelay)
}

// problem is what is wrong with how the day was served, empty if nothing is.
func (s *servedDay) problem() string {
	var reasons []string
	if min(s.class.share, s.team.share, s.largest.share) < minServedShare {
		reasons = append(reasons, fmt.Sprintf("class %s was served to %.3f, team %s to %.3f, the largest of %s to %.3f, at least %.1f is expected",
			s.class.name, s.class.share, s.team.name, s.team.share, s.largest.class, s.largest.share, minServedShare))
	}
	if s.largest.maxStartDelay > maxStartWait {
		reasons = append(reasons, fmt.Sprintf("%s, of the largest of its class, waited %.0f s to begin, %.0f s at most is expected", s.largest.slowestJob, s.largest.maxStartDelay, maxStartWait))
	}
	if len(reasons) == 0 {
		return ""
	}
	return s.played.String() + ": " + strings.Join(reasons, "; ")
}

// checkServed plays days once more for their reports, which a score does not give, and
// prints who was served least. It returns what is wrong.
func checkServed(days []playedDay) []string {
	dir, err := os.MkdirTemp("", "regress")
	if err != nil {
		return []string{err.Error()}
	}
	defer func() { _ = os.RemoveAll(dir) }()
	served, failures := make([]*servedDay, len(days)), make([]error, len(days))
	var plays []func()
	for i, d := range days {
		plays = append(plays, func() {
			served[i], failures[i] = playServedDay(d, filepath.Join(dir, fmt.Sprintf("%d.json", i)))
		})
	}
	runParallel(plays)
	fmt.Printf("\n%-40s %-16s %6s   %-16s %6s   %-16s %6s %s  (simulated)\n", "least served", "class", "", "team", "", "largest of", "", "latest begin")
	var problems []string
	for i, s := range served {
		if failures[i] != nil {
			problems = append(problems, failures[i].Error())
			continue
		}
		fmt.Println(s.line())
		if problem := s.problem(); problem != "" {
			problems = append(problems, problem)
		}
	}
	return problems
}
