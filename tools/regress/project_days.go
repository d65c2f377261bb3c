package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
)

// defaultHuntDays is the number of random days on each deployment in the set hunt.
const defaultHuntDays = 10

// grownSuffix is the suffix of the name of a grown copy, which uses the original's days.
var grownSuffix = regexp.MustCompile(`-x[0-9.]+$`)

// projectDays returns the files of the project's own days for a deployment.
func projectDays(dir, file string) ([]string, error) {
	deployment := grownSuffix.ReplaceAllString(deploymentName(file), "")
	return filepath.Glob(filepath.Join(dir, deployment, "*.toml"))
}

// projectDayRun is one of the project's own days, to be run on a deployment with a seed.
type projectDayRun struct {
	file string // of the deployment
	day  string // the day's file
	seed int    // 0: the seed in the day's file
}

// play runs the day and returns the output of the bench. It returns an error only if the day did not run
// to its end; the results are in the journal.
func (r projectDayRun) play() ([]byte, error) {
	args := []string{"run", r.file, r.day, "--why", cli.Why}
	if r.seed > 0 {
		args = append(args, "--seed", fmt.Sprint(r.seed))
	}
	var out bytes.Buffer
	err := runBench(&out, os.Stderr, args...)
	if err != nil && !strings.Contains(out.String(), playedMarker) {
		return out.Bytes(), fmt.Errorf("%s, day %s: did not run: %w", filepath.Base(r.file), filepath.Base(r.day), err)
	}
	return out.Bytes(), nil
}

// playedMarker is in the bench's output of each day that ran to its end.
const playedMarker = "rules:"

// runProjectDays runs the project's own days of the deployments and returns a problem for each that did
// not run.
func runProjectDays(files []string) []string {
	var problems []string
	var mutex sync.Mutex // of problems and of the output
	var plays []func()
	for _, f := range files {
		days, err := projectDays(cli.Own, f)
		if err != nil || len(days) == 0 {
			problems = append(problems, fmt.Sprintf("%s: no days in the folder of the project's own days: %v", filepath.Base(f), err))
			continue
		}
		for _, day := range days {
			for seed := range cli.Seeds {
				plays = append(plays, func() {
					out, err := projectDayRun{file: f, day: day, seed: seed}.play()
					mutex.Lock()
					defer mutex.Unlock()
					fmt.Print(string(out))
					if err != nil {
						problems = append(problems, err.Error())
					}
				})
			}
		}
	}
	runParallel(plays)
	return problems
}
