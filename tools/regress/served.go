package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"basaltwall/internal/exactjson"
)

// minServedShare is the least share to which each class and team must be served on each day.
const minServedShare = 0.6

// dayReport has the service of classes and teams in a day's report. For teams it has only the number of
// started jobs.
type dayReport struct {
	Duration float64 `json:"duration_s"`
	Classes  map[string]struct {
		Jobs      int      `json:"jobs"`
		Started   int      `json:"started"`
		Done      int      `json:"done"`
		Cancelled int      `json:"cancelled"`
		Up        *float64 `json:"up"` // share of the replica time, only for services
	} `json:"classes"`
	Teams map[string]struct {
		Jobs    int `json:"jobs"`
		Started int `json:"started"`
	} `json:"teams"`
}

// servedShare is the share to which a class or team was served, from 0 to 1.
type servedShare struct {
	name  string
	share float64
}

// unknownShare is the initial value of a minimum of shares.
const unknownShare = 2

// shareOf returns got divided by total; 1 if total is 0.
func shareOf(got, total int) float64 {
	if total <= 0 {
		return 1
	}
	return float64(got) / float64(total)
}

// leastServed returns the class and the team with the lowest shares.
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

// errNoReport is returned for a day whose report is missing or lacks classes or teams.
var errNoReport = errors.New("no report of classes and teams")

// scoredDay is a scored day of a deployment.
type scoredDay struct {
	file string // of the deployment
	day  string
}

// String returns the names of the deployment and the day.
func (d scoredDay) String() string {
	return deploymentName(d.file) + ", day " + d.day
}

// servedDay has the lowest shares of a day.
type servedDay struct {
	played      scoredDay
	class, team servedShare
	largest     largestJobs
}

// runServedDay runs a day again to get its report, which the bench writes to reportFile.
func runServedDay(d scoredDay, reportFile string) (*servedDay, error) {
	// The bench also returns an error if a day misses its objectives, so only the report counts.
	var log bytes.Buffer
	_ = runBench(io.Discard, &log, "run", d.file, d.day, "--no-cpu", "--log", "info", "--report", reportFile, "--why", cli.Why)
	var report dayReport
	data, err := os.ReadFile(reportFile)
	if err == nil {
		err = exactjson.Decode(data, &report)
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

// line returns the day's line of the printed table.
func (s *servedDay) line() string {
	return fmt.Sprintf("%-40s %-16s %6.3f   %-16s %6.3f   %-16s %6.3f %6.0f s", s.played, s.class.name, s.class.share, s.team.name, s.team.share,
		s.largest.class, s.largest.share, s.largest.maxStartDelay)
}

// problem describes the shares and waits beyond their limits; "" if there are none.
func (s *servedDay) problem() string {
	var reasons []string
	if min(s.class.share, s.team.share, s.largest.share) < minServedShare {
		reasons = append(reasons, fmt.Sprintf("class %s was served to %.3f, team %s to %.3f, the largest jobs of %s to %.3f; at least %.1f is expected",
			s.class.name, s.class.share, s.team.name, s.team.share, s.largest.class, s.largest.share, minServedShare))
	}
	if s.largest.maxStartDelay > maxStartWait {
		reasons = append(reasons, fmt.Sprintf("%s, one of the largest jobs of its class, waited %.0f s until its start; at most %.0f s is expected", s.largest.slowestJob, s.largest.maxStartDelay, maxStartWait))
	}
	if len(reasons) == 0 {
		return ""
	}
	return s.played.String() + ": " + strings.Join(reasons, "; ")
}

// checkServed runs days again for their reports, which a score does not include, and prints the lowest
// shares. It returns the problems.
func checkServed(days []scoredDay) []string {
	dir, err := os.MkdirTemp("", "regress")
	if err != nil {
		return []string{err.Error()}
	}
	defer func() { _ = os.RemoveAll(dir) }()
	served, failures := make([]*servedDay, len(days)), make([]error, len(days))
	var plays []func()
	for i, d := range days {
		plays = append(plays, func() {
			served[i], failures[i] = runServedDay(d, filepath.Join(dir, fmt.Sprintf("%d.json", i)))
		})
	}
	runParallel(plays)
	fmt.Printf("\n%-40s %-16s %6s   %-16s %6s   %-16s %6s %s  (simulated)\n", "least served", "class", "", "team", "", "largest of", "", "longest wait")
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
