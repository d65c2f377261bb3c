// Command standin runs one case of the review: it starts stand-ins of the state service, the cloud, the workers and
// the users on loopback, starts the controllers with the run command of a deploy file, and judges what clients,
// workers and the platform see. It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
)

// scenario runs a case and reports whether the rule was broken.
type scenario func(rec *record, dir, runCommand string, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"late-answer":     lateAnswer,
	"resume-tenant":   resumeTenant,
	"reset-command":   resetCommand,
	"foreign-history": foreignHistory,
}

var errNoRun = errors.New("the deploy file has no run command")

// readRun returns the run command of a deploy file.
func readRun(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(data)) {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == "run" {
			return strings.Trim(strings.TrimSpace(value), `"`), nil
		}
	}
	return "", errNoRun
}

func main() {
	name := flag.String("case", "", "the case")
	deploy := flag.String("deploy", "deploy/service.toml", "the deploy file")
	recordFile := flag.String("record", "record.txt", "the record")
	keep := flag.String("keep", "", "keep the controllers' logs in this folder")
	flag.Parse()
	os.Exit(run(*name, *deploy, *recordFile, *keep))
}

const couldNotRun = 2

func run(name, deploy, recordFile, keep string) int {
	rec, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-"); err != nil {
			rec.printf("no temporary folder: %v", err)
			return couldNotRun
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		command, err := readRun(deploy)
		if err != nil {
			done <- result{err: err}
			return
		}
		play := scenarios[name]
		if play == nil {
			done <- result{err: fmt.Errorf("no case %q", name)}
			return
		}
		broken, err := play(rec, filepath.Clean(dir), command, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-interrupted:
		r.err = errTimeout
	}
	switch {
	case r.err != nil:
		rec.printf("the case couldn't run: %v", r.err)
		fmt.Println("couldn't run:", r.err)
		return couldNotRun
	case r.broken:
		rec.printf("result: the rule was BROKEN")
		fmt.Println("rule broken")
		return 1
	}
	rec.printf("result: the rule held")
	fmt.Println("rule held")
	return 0
}
