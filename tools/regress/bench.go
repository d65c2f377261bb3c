package main

import (
	"io"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
)

func runBench(out, errs io.Writer, args ...string) error {
	c := exec.Command(cli.Bench, args...)
	c.Stdout, c.Stderr = out, errs
	return c.Run()
}

// runParallel calls functions, at most cli.Jobs at once, and waits for all of them.
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

// deploymentName returns the base name of a deployment file without its extension.
func deploymentName(file string) string {
	return strings.TrimSuffix(filepath.Base(file), ".toml")
}
