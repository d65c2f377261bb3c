package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"time"
)

// cases holds the cases by name. Each returns why it could not run, or "".
var cases = map[string]func(dir, record string) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bench CASE RECORD")
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review-")
	must(err)
	code := cases[os.Args[1]](dir, os.Args[2])
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	os.Exit(code)
}

// startAll starts all controllers and waits until they serve.
func (w *world) startAll() bool {
	for _, c := range w.nodes {
		w.launch(c)
	}
	ready := w.waitReady(15 * time.Second)
	w.mu.Lock()
	w.ready = ready
	w.mu.Unlock()
	return ready
}

// portals submits services of one replica each, as the portal of the brief, and waits until all run. The
// first two are bound to the first zone.
func (w *world) portals(n int) bool {
	for i := range n {
		j := spec(fmt.Sprintf("run-%06d", 900000+i), "dispo", 1, 2, 6.2)
		j["mestiere"], j["forma"], j["urgenza"], j["stima_s"], j["stampo"] = "portal", "daemon", "critical", 0.0, "img-07"
		if i < 2 {
			j["cortile"] = w.site.Zones[0]
		}
		if !w.accepts(j, 0) {
			return false
		}
	}
	return w.runs(n)
}

// runs waits until n tasks are on machines.
func (w *world) runs(n int) bool {
	for range 100 {
		time.Sleep(200 * time.Millisecond)
		w.mu.Lock()
		running := len(w.on)
		w.mu.Unlock()
		if running == n {
			return true
		}
	}
	return false
}

// tenant adds a tenant with a key by the operators' commands and returns its Authorization header.
func (w *world) tenant(name, team string) string {
	admin := []string{"admin", "--addr", w.nodes[0].api, "--key-file", w.adminKey, "tenant"}
	out, err := exec.Command("target/basaltwall", append(admin, "add", name, "--team", team)...).CombinedOutput()
	w.note("operator: tenant add %s: %v %s", name, err, bytes.TrimSpace(out))
	out, err = exec.Command("target/basaltwall", append(admin, "key", "add", name, "laptop")...).CombinedOutput()
	var a struct{ Secret string }
	_ = json.Unmarshal(out, &a)
	w.note("operator: tenant key add %s: %v, a key of %d bytes", name, err, len(a.Secret))
	if a.Secret == "" {
		return ""
	}
	return "Bearer " + a.Secret
}
