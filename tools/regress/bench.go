package main

import (
	"io"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
)

// runBench runs the bench's program.
func runBench(out, errs io.Writer, args ...string) error {
	c := exec.Command(cli.Bench, args...)
	c.Stdout, c.Stderr = out, errs
	return c.Run()
}

// runParallel calls functions, cli.Jobs of them at once at most, and returns when all have.
func runParallel(functions []func()) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, cli.Jobs)
	for _, f := range functions {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			f()
		})
	}
	wait.Wait()
}

// deploymentName is the name of a deployment's file without its folder and its extension.
func deploymentName(file string) string {
	return strings.TrimSuffix(filepath.Base(file), ".toml")
}
