package main

import (
	"fmt"
	"os"
)

// scaleDays are the days that are played of copies at the target's size.
var scaleDays = []string{"restart", "zone"}

// scaleEndSeconds is until when these are played, in seconds of simulated time: all controllers have
// ended once and a zone was cut off by then.
const scaleEndSeconds = 240

// runScaleDays plays days of copies of the target's size, for their rules. It returns what is wrong.
func runScaleDays(files []string, dir string) []string {
	var problems []string
	for _, f := range files {
		copied, err := resizeDeployment(f, dir, targetSize)
		if err != nil {
			problems = append(problems, err.Error())
			continue
		}
		for _, day := range scaleDays {
			// What is wrong with it is in the journal's entry.
			_ = runBench(os.Stdout, os.Stderr, "run", copied, day, "--no-cpu", "--until", fmt.Sprint(scaleEndSeconds), "--why", cli.Why)
		}
	}
	return problems
}
