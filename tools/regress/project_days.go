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

// projectDays are the days of the project's own for a deployment.
func projectDays(dir, file string) ([]string, error) {
	deployment := grownSuffix.ReplaceAllString(strings.TrimSuffix(filepath.Base(file), ".toml"), "")
	return filepath.Glob(filepath.Join(dir, deployment, "*.toml"))
}

// runProjectDays plays the project's own days of the deployments, and returns those that could not be
// played; what happened in the others is in the journal.
func runProjectDays(files []string) []string {
	var problems []string
	var mutex sync.Mutex
	var wait sync.WaitGroup
	semaphore := make(chan struct{}, cli.Jobs)
	for _, f := range files {
		days, err := projectDays(cli.Own, f)
		if err != nil || len(days) == 0 {
			problems = append(problems, fmt.Sprintf("%s: no days of the project's own: %v", filepath.Base(f), err))
			continue
		}
		for _, day := range days {
			for seed := range cli.Seeds {
				wait.Go(func() {
					semaphore <- struct{}{}
					defer func() { <-semaphore }()
					args := []string{"run", f, day, "--why", cli.Why}
					if seed > 0 { // the first is the day's own
						args = append(args, "--seed", fmt.Sprint(seed))
					}
					var out bytes.Buffer
					err := runBench(&out, os.Stderr, args...)
					mutex.Lock()
					defer mutex.Unlock()
					fmt.Print(out.String())
					if err != nil && !strings.Contains(out.String(), "rules:") {
						problems = append(problems, fmt.Sprintf("%s, day %s: not played: %v", filepath.Base(f), filepath.Base(day), err))
					}
				})
			}
		}
	}
	wait.Wait()
	return problems
}
