package main

import (
	"fmt"
	"os"
)

// scaleDays are the days that run on copies of the target size.
var scaleDays = []string{"restart", "zone"}

// scaleEndSeconds is the end of these days, in seconds of simulated time: after a restart of all
// controllers and the partition of a zone.
const scaleEndSeconds = 240

// runScaleDays runs days on copies of the target size, to find broken rules. It returns the copies that
// could not be written.
func runScaleDays(files []string, dir string) []string {
	var problems []string
	for _, f := range files {
		copied, err := resizeDeployment(f, dir, targetSize)
		if err != nil {
			problems = append(problems, err.Error())
			continue
		}
		for _, day := range scaleDays {
			// The journal entry has the problems of the day.
			_ = runBench(os.Stdout, os.Stderr, "run", copied, day, "--no-cpu", "--until", fmt.Sprint(scaleEndSeconds), "--why", cli.Why)
		}
	}
	return problems
}
