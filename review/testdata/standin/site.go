package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// jobSpec is a job as its user submits it.
type jobSpec struct {
	Ref      string   `json:"ref"`
	Class    string   `json:"mestiere"`
	Team     string   `json:"bottega"`
	Kind     string   `json:"forma"`
	Priority string   `json:"urgenza"`
	Tasks    int      `json:"pezzi"`
	Cores    float64  `json:"cores"`
	GPUs     float64  `json:"gpus"`
	RAM      float64  `json:"ram_gb"`
	Image    string   `json:"stampo"`
	ImageGB  float64  `json:"image_gb"`
	Types    []string `json:"banchi"`
	Zone     *string  `json:"cortile"`
	Together bool     `json:"together"`
	Scatter  bool     `json:"scatter"`
	Spot     bool     `json:"avanzi"`
	Estimate float64  `json:"stima_s"`
	Tappa    float64  `json:"tappa_s"`
	Salvo    float64  `json:"salvo_s"`
	Deadline *float64 `json:"consegna_s"`

	run time.Duration
}

// jobs holds the uploaded descriptions of jobs, by the job part of task names. A worker of a hosted service asks
// with the service's own name of a job; the descriptions of these jobs are alike, and other serves them all.
type jobs struct {
	mu    sync.Mutex
	specs map[string]*jobSpec
	other *jobSpec
}

func (j *jobs) upload(s *jobSpec) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.specs[s.Ref] = s
}

func (j *jobs) find(task string) *jobSpec {
	j.mu.Lock()
	defer j.mu.Unlock()
	ref, _, _ := strings.Cut(task, "/")
	if s := j.specs[ref]; s != nil {
		return s
	}
	return j.other
}

// site is a deployment: the stand-ins and the controllers.
type site struct {
	rec     *record
	dir     string
	run     []string // the run command of the deploy file
	env     []string
	labels  []string
	apis    []string
	files   []string
	state   *stateService
	cloud   *cloud
	shared  *workerSettings
	jobs    *jobs
	watch   *watcher
	workers []*worker
	client  *http.Client

	mu    sync.Mutex
	procs map[string]*exec.Cmd
	ended []string // controllers that ended by themselves
	next  int
}

type siteSettings struct {
	limits                     limits
	teams                      []object
	report, lease, cancel      float64
	cloudRPS, listLag          float64
	zones                      []string
	memoryMB, cpuShare, clockE float64
	fds                        int
	types                      []machineType
	stateNext                  object
}

// freePort returns a loopback address that is free now, below the range from which the system takes ports of its own.
func freePort() (string, error) {
	const first, count, tries = 20_000, 12_000, 100
	for range tries {
		ln, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(first+rand.IntN(count)))
		if err == nil {
			addr := ln.Addr().String()
			return addr, ln.Close()
		}
	}
	return "", errNoPort
}

var errNoPort = errors.New("no free port")

func serveOn(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(ln) }()
	return ln.Addr().String(), nil
}

// newSite starts the stand-ins and writes the settings files of three controllers.
func newSite(rec *record, dir, runCommand string, s siteSettings) (*site, error) {
	t := &site{rec: rec, dir: dir, run: strings.Fields(runCommand), procs: map[string]*exec.Cmd{},
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 16}}}
	t.jobs, t.watch = &jobs{specs: map[string]*jobSpec{}}, newWatcher(rec)
	t.state = newStateService(rec, s.limits)
	t.cloud = &cloud{rec: rec, types: s.types, lag: seconds(s.listLag), rps: s.cloudRPS, hosts: map[string]*host{}, rentals: map[string][]string{}}
	stateAddr, err := serveOn(t.state)
	if err != nil {
		return nil, err
	}
	cloudAddr, err := serveOn(t.cloud)
	if err != nil {
		return nil, err
	}
	t.shared = &workerSettings{reportEvery: seconds(s.report), lease: seconds(s.lease), byLabel: map[string]int{}, jobs: t.jobs, watch: t.watch}
	var peers []string
	for i := range 3 {
		t.labels = append(t.labels, "stone-"+strconv.Itoa(i))
		api, err := freePort()
		if err != nil {
			return nil, err
		}
		peer, err := freePort()
		if err != nil {
			return nil, err
		}
		t.apis, peers = append(t.apis, api), append(peers, peer)
		t.shared.byLabel[t.labels[i]] = i
	}
	t.shared.controllers = t.apis
	stateLimits := object{"rps": s.limits.rps, "write_rps": s.limits.writeRPS, "value_kb": s.limits.valueKB, "txn_ops": s.limits.txnOps}
	if s.stateNext != nil {
		stateLimits["next"] = s.stateNext
	}
	for i, label := range t.labels {
		others := []object{}
		for k := range t.labels {
			if k != i {
				others = append(others, object{"label": t.labels[k], "domain": s.zones[k%len(s.zones)], "peer_addr": peers[k]})
			}
		}
		data, err := json.MarshalIndent(object{"label": label, "domain": s.zones[i%len(s.zones)], "api_addr": t.apis[i], "peer_listen": peers[i], "peers": others,
			"external": object{"cloud": cloudAddr, "state": stateAddr},
			"deployment": object{"initial_size": 3, "zones": s.zones, "teams": s.teams, "objectives": []object{},
				"workers": object{"report_s": s.report, "lease_s": s.lease, "gang_wait_s": 35.0, "gang_peer_s": 6.0, "cancel_s": s.cancel},
				"state":   stateLimits, "cloud": object{"rps": s.cloudRPS, "list_lag_s": s.listLag},
				"limits":         object{"cpu_share": s.cpuShare, "memory_mb": s.memoryMB, "fd_limit": s.fds},
				"clock_error_ms": s.clockE}}, "", "  ")
		if err != nil {
			return nil, err
		}
		name := filepath.Join(dir, label+".json")
		if err := os.WriteFile(name, data, 0o600); err != nil {
			return nil, err
		}
		t.files = append(t.files, name)
	}
	return t, nil
}

// writeFile writes a file that only the owner may read.
func writeFile(name string, data []byte) error { return os.WriteFile(name, data, 0o600) }

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

// addMachine adds a machine of the start, which comes up after a delay.
func (t *site) addMachine(zone string, kind machineType, after time.Duration, quiet bool) error {
	h, err := t.newHost(zone, kind, time.Now().Add(-time.Minute), after, quiet)
	if err != nil {
		return err
	}
	t.cloud.add(h)
	return nil
}

// newHost makes the next machine, which comes up after a delay.
func (t *site) newHost(zone string, kind machineType, rented time.Time, after time.Duration, quiet bool) (*host, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, err := newWorker(t.shared, t.rec, machineName(len(t.workers)+1), zone, kind)
	if err != nil {
		return nil, err
	}
	w.quiet = quiet
	t.workers = append(t.workers, w)
	time.AfterFunc(after, func() {
		if w.ctx.Err() == nil {
			w.run()
		}
	})
	return &host{ref: w.ref, address: w.address, banco: kind.Name, zone: zone, rented: rented, up: time.Now().Add(after), worker: w}, nil
}

// machines returns the workers of all machines, also those that are gone.
func (t *site) machines() []*worker {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]*worker(nil), t.workers...)
}

// startController starts a controller with the run command of the deploy file.
func (t *site) startController(i int) error {
	args := append(append([]string{}, t.run[1:]...), t.files[i])
	cmd := exec.Command(t.run[0], args...)
	logFile, err := os.Create(filepath.Join(t.dir, t.labels[i]+".log"))
	if err != nil {
		return err
	}
	cmd.Stderr = logFile
	cmd.Env = append(append(os.Environ(), "LOG_LEVEL=info"), t.env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	t.rec.printf("controller %s started: %s", t.labels[i], strings.Join(t.run, " "))
	t.mu.Lock()
	t.procs[t.labels[i]] = cmd
	t.mu.Unlock()
	go func() {
		err := cmd.Wait()
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.procs[t.labels[i]] == cmd {
			t.ended = append(t.ended, t.labels[i])
			t.rec.printf("controller %s ended by itself: %v", t.labels[i], err)
		}
	}()
	return nil
}

// close ends all controllers.
func (t *site) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for label, cmd := range t.procs {
		delete(t.procs, label)
		_ = cmd.Process.Kill()
	}
}

// do sends a request to one controller. The status is 0 without an answer.
func (t *site) do(i int, method, path, key string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.apis[i]+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	res, err := t.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, answer
}

func (t *site) pick() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	return t.next % len(t.apis)
}

var errTimeout = errors.New("no answer in time")

// awaitReady waits until all controllers are ready and every machine with a worker has a token.
func (t *site) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for i := range t.apis {
		for {
			if status, _ := t.do(i, "GET", "/ready", "", nil, time.Second); status == 200 {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("controller %s: %w", t.labels[i], errTimeout)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	t.rec.printf("all controllers are ready")
	return nil
}

// submit submits a job as a user does, until it is accepted.
func (t *site) submit(s *jobSpec, key string) error {
	t.jobs.upload(s)
	body, err := json.Marshal(s)
	if err != nil {
		return err
	}
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); {
		i := t.pick()
		status, answer := t.do(i, "POST", "/v1/jobs", key, body, 5*time.Second)
		if !t.watch.quiet || status >= 300 && status < 500 && status != 429 {
			t.rec.printf("user: submission of %s to %s -> %d %s", s.Ref, t.labels[i], status, answer)
		}
		switch status {
		case 200, 201:
			return nil
		case 400, 422:
			return fmt.Errorf("submission of %s: %d %s", s.Ref, status, answer)
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("submission of %s: %w", s.Ref, errTimeout)
}
