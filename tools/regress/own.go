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

// usualHunt is how many days the set hunt has the bench draw on each deployment.
const usualHunt = 10

// grownSuffix is what the name of a grown copy ends with: its days are those of the original.
var grownSuffix = regexp.MustCompile(`-x[0-9.]+$`)

// ownDays are the days of the project's own for a deployment.
func ownDays(dir, file string) ([]string, error) {
	site := grownSuffix.ReplaceAllString(strings.TrimSuffix(filepath.Base(file), ".toml"), "")
	return filepath.Glob(filepath.Join(dir, site, "*.toml"))
}

// playOwn plays the project's own days of the deployments, and returns those that could not be
// played; what happened in the others is in the journal.
func playOwn(files []string) []string {
	var bad []string
	var mutex sync.Mutex
	var wait sync.WaitGroup
	turns := make(chan struct{}, cli.Jobs)
	for _, f := range files {
		days, err := ownDays(cli.Own, f)
		if err != nil || len(days) == 0 {
			bad = append(bad, fmt.Sprintf("%s: no days of the project's own: %v", filepath.Base(f), err))
			continue
		}
		for _, day := range days {
			for seed := range cli.Seeds {
				wait.Go(func() {
					turns <- struct{}{}
					defer func() { <-turns }()
					args := []string{"run", f, day, "--why", cli.Why}
					if seed > 0 { // the first is the day's own
						args = append(args, "--seed", fmt.Sprint(seed))
					}
					var out bytes.Buffer
					err := bench(&out, os.Stderr, args...)
					mutex.Lock()
					defer mutex.Unlock()
					fmt.Print(out.String())
					if err != nil && !strings.Contains(out.String(), "rules:") {
						bad = append(bad, fmt.Sprintf("%s, day %s: not played: %v", filepath.Base(f), filepath.Base(day), err))
					}
				})
			}
		}
	}
	wait.Wait()
	return bad
}
