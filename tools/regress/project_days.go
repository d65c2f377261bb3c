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

// defaultHuntDays is how many days the set hunt has the bench draw on each deployment.
const defaultHuntDays = 10

// grownSuffix is what the name of a grown copy ends with: its days are those of the original.
var grownSuffix = regexp.MustCompile(`-x[0-9.]+$`)

// projectDays are the files of the days of the project's own for a deployment.
func projectDays(dir, file string) ([]string, error) {
	deployment := grownSuffix.ReplaceAllString(deploymentName(file), "")
	return filepath.Glob(filepath.Join(dir, deployment, "*.toml"))
}

// projectDayRun is a day of the project's own, to be played on a deployment with a seed.
type projectDayRun struct {
	file string // of the deployment
	day  string // the day's file
	seed int    // 0: the day's own
}

// play plays the day and returns what the bench wrote. It is an error if the day could not be played;
// what happened in it is in the journal.
func (r projectDayRun) play() ([]byte, error) {
	args := []string{"run", r.file, r.day, "--why", cli.Why}
	if r.seed > 0 {
		args = append(args, "--seed", fmt.Sprint(r.seed))
	}
	var out bytes.Buffer
	err := runBench(&out, os.Stderr, args...)
	if err != nil && !strings.Contains(out.String(), playedMarker) {
		return out.Bytes(), fmt.Errorf("%s, day %s: not played: %w", filepath.Base(r.file), filepath.Base(r.day), err)
	}
	return out.Bytes(), nil
}

// playedMarker is in the bench's output of each day that it played to its end.
const playedMarker = "rules:"

// runProjectDays plays the project's own days of the deployments, and returns those that could not be
// played.
func runProjectDays(files []string) []string {
	var problems []string
	var mutex sync.Mutex // of problems and of the output
	var plays []func()
	for _, f := range files {
		days, err := projectDays(cli.Own, f)
		if err != nil || len(days) == 0 {
			problems = append(problems, fmt.Sprintf("%s: no days of the project's own: %v", filepath.Base(f), err))
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
