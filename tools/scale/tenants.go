package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"basaltwall/api"
	"basaltwall/controller/tenancy"
	"basaltwall/internal/emulator"
	"basaltwall/tenant"
)

// tenantsCmd measures a hosted service of real processes, beside the emulators: what a tenant that
// keeps within its rate sees alone and beside a flood, and what a request costs with tenants and
// without. It is bounded in time and in requests.
type tenantsCmd struct {
	Program string        `default:"target/basaltwall" type:"existingfile" help:"The program to measure."`
	Phase   time.Duration `default:"15s" help:"How long each phase lasts, a minute at most."`
	Rate    float64       `default:"5" help:"Submissions a second that are agreed with each tenant."`
	Flood   float64       `default:"50" help:"How many times its rate the flooding tenant submits."`
	Polls   float64       `default:"300" help:"Polls a second when the cost of a request is measured, 1000 at most."`
}

// hostedDeployment is three controllers as processes.
type hostedDeployment struct {
	live      *emulator.Live
	adminKey  string // the operators' key; "" without tenants
	client    *http.Client
	jobNumber atomic.Int64
}

func (s *hostedDeployment) request(index int, key, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return request(ctx, s.client, method, s.live.Configs[index%len(s.live.Configs)].APIAddr+path, key, body)
}

// startDeployment starts the emulators and the controllers and waits until they answer.
func startDeployment(ctx context.Context, c *tenantsCmd, dir string, hosted bool) (*hostedDeployment, error) {
	l, err := emulator.StartLive(ctx, 3, 8)
	if err != nil {
		return nil, err
	}
	s := &hostedDeployment{live: l, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	args := []string{}
	if hosted {
		_, secret, err := tenant.NewKey([tenant.RandomBytes]byte{3}, "admin", 0, 0)
		if err != nil {
			return nil, err
		}
		s.adminKey = secret.String()
		name := filepath.Join(dir, "admin.key")
		if err := os.WriteFile(name, []byte(s.adminKey), 0o600); err != nil {
			return nil, err
		}
		args = append(args, "--hosted", "--admin-key-file", name)
	}
	for i, f := range l.SettingsFiles {
		name := filepath.Join(dir, fmt.Sprintf("%d.json", i))
		if err := os.WriteFile(name, f, 0o600); err != nil {
			return nil, err
		}
		p := exec.CommandContext(ctx, c.Program, append(args, "--config", name)...)
		p.Env = append(os.Environ(), "LOG_LEVEL=error")
		p.Stderr = os.Stderr
		if err := p.Start(); err != nil {
			return nil, fmt.Errorf("controller: %w", err)
		}
		go func() { _ = p.Wait() }()
	}
	for range 200 {
		ready := 0
		for i := range l.Configs {
			if code, _, err := s.request(i, "", "GET", api.PathReady, nil); err == nil && code == 200 {
				ready++
			}
		}
		if ready == len(l.Configs) {
			time.Sleep(2 * time.Second) // all partitions owned, all machines heard
			return s, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, errors.New("the controllers do not get ready")
}

// createTenant makes a tenant with a key.
func (s *hostedDeployment) createTenant(c *tenantsCmd, name, team string) (string, error) {
	put, err := json.Marshal(map[string]any{"revision": 0, "teams": []string{team}, "rate": c.Rate, "burst": 2 * c.Rate, "retention_s": 60})
	if err != nil {
		return "", err
	}
	code, body, err := s.request(0, s.adminKey, "PUT", "/admin/v1/tenants/"+name, put)
	var at tenancy.TenantView
	if err != nil || code != 200 || json.Unmarshal(body, &at) != nil {
		return "", fmt.Errorf("tenant %s: %d %s %w", name, code, body, err)
	}
	code, body, err = s.request(0, s.adminKey, "POST", "/admin/v1/tenants/"+name+"/keys", fmt.Appendf(nil, `{"revision":%d,"name":"load"}`, at.Revision))
	var k tenancy.NewKeyView
	if err != nil || code != 200 || json.Unmarshal(body, &k) != nil {
		return "", fmt.Errorf("key of %s: %d %s %w", name, code, body, err)
	}
	return k.Secret, nil
}

// phaseStats is what a tenant has seen in a phase.
type phaseStats struct {
	mu                              sync.Mutex
	acceptLatency, startLatency     *hdrhistogram.Histogram // microseconds
	sent, accepted, refused, failed int
}

func newPhaseStats() *phaseStats {
	return &phaseStats{acceptLatency: hdrhistogram.New(1, 60_000_000, 3), startLatency: hdrhistogram.New(1, 60_000_000, 3)}
}

func (v *phaseStats) String() string {
	return fmt.Sprintf("sent %d, accepted %d, refused 429 %d, otherwise %d; accepted in p50 %.1f ms, p99 %.1f ms; started in p50 %.0f ms, p99 %.0f ms (%d)",
		v.sent, v.accepted, v.refused, v.failed, quantileMillis(v.acceptLatency, 50), quantileMillis(v.acceptLatency, 99), quantileMillis(v.startLatency, 50), quantileMillis(v.startLatency, 99), v.startLatency.TotalCount())
}

func quantileMillis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

const jobTemplate = `{"ref":"run-%d","mestiere":"load","bottega":"%s","forma":"sweep","urgenza":"normal","pezzi":1,"cores":0.1,"gpus":0,"ram_gb":0.1,
"stampo":"img","image_gb":0.1,"together":false,"scatter":false,"avanzi":false,"stima_s":1,"tappa_s":0,"salvo_s":0}`

// submit submits at a rate for a while; with follow each job is polled until it has begun.
func (s *hostedDeployment) submit(key, team string, rate float64, phase time.Duration, waitForStart bool) *phaseStats {
	v := newPhaseStats()
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	slots := make(chan struct{}, 64) // requests under way, at most
	for end := time.Now().Add(phase); time.Now().Before(end); {
		<-tick.C
		select {
		case slots <- struct{}{}:
		default:
			continue
		}
		n := s.jobNumber.Add(1)
		wg.Go(func() {
			defer func() { <-slots }()
			begun := time.Now()
			code, _, err := s.request(int(n), key, "POST", api.PathJobs, fmt.Appendf(nil, jobTemplate, n, team))
			v.mu.Lock()
			v.sent++
			switch {
			case err == nil && code == 201:
				v.accepted++
				_ = v.acceptLatency.RecordValue(max(1, time.Since(begun).Microseconds()))
			case code == 429:
				v.refused++
			default:
				v.failed++
			}
			v.mu.Unlock()
			if !waitForStart || code != 201 {
				return
			}
			for range 200 {
				_, body, err := s.request(int(n)+1, key, "GET", fmt.Sprintf("%s/run-%d", api.PathJobs, n), nil)
				var st api.JobStatus
				if err == nil && json.Unmarshal(body, &st) == nil && (st.State == api.JobRunning || st.State == api.JobDone) {
					v.mu.Lock()
					_ = v.startLatency.RecordValue(max(1, time.Since(begun).Microseconds()))
					v.mu.Unlock()
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return v
}

// cpuSeconds is the processor time of all controllers, in seconds.
func (s *hostedDeployment) cpuSeconds() float64 {
	sum := 0.0
	for i := range s.live.Configs {
		_, body, err := s.request(i, s.adminKey, "GET", "/admin/v1/metrics", nil)
		var m struct {
			Processor float64 `json:"processor_s"`
		}
		if err == nil && json.Unmarshal(body, &m) == nil {
			sum += m.Processor
		}
	}
	return sum
}

// measurePollCost polls a job that is running and reports requests a second and what one costs.
func (s *hostedDeployment) measurePollCost(c *tenantsCmd, key string) (string, error) {
	n := s.jobNumber.Add(1)
	code, body, err := s.request(0, key, "POST", api.PathJobs, []byte(strings.Replace(fmt.Sprintf(jobTemplate, n, "red"), `"sweep"`, `"daemon"`, 1)))
	if err != nil || code != 201 {
		return "", fmt.Errorf("service: %d %s %w", code, body, err)
	}
	time.Sleep(6 * time.Second) // the account of processor time is brought up to date every five
	before := s.cpuSeconds()
	time.Sleep(c.Phase)
	idle := s.cpuSeconds() - before
	before = s.cpuSeconds()
	var wg sync.WaitGroup
	var done, failed atomic.Int64
	lat := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	tick := time.NewTicker(time.Duration(float64(time.Second) / c.Polls))
	defer tick.Stop()
	begun := time.Now()
	for i := 0; time.Since(begun) < c.Phase; i++ {
		<-tick.C
		wg.Go(func() {
			at := time.Now()
			code, _, err := s.request(i, key, "GET", fmt.Sprintf("%s/run-%d", api.PathJobs, n), nil)
			if err != nil || code != 200 {
				failed.Add(1)
				return
			}
			done.Add(1)
			mu.Lock()
			_ = lat.RecordValue(max(1, time.Since(at).Microseconds()))
			mu.Unlock()
		})
	}
	wg.Wait()
	took := time.Since(begun).Seconds()
	time.Sleep(6 * time.Second)
	each := (s.cpuSeconds() - before - idle) / float64(max(1, done.Load()))
	return fmt.Sprintf("%.0f polls a second, %d failed; p50 %.1f ms, p99 %.1f ms; %.0f microseconds of processor each", float64(done.Load())/took, failed.Load(),
		quantileMillis(lat, 50), quantileMillis(lat, 99), each*1e6), nil
}

// Run measures without tenants and with them.
func (c *tenantsCmd) Run() error {
	c.Phase, c.Polls = min(c.Phase, time.Minute), min(c.Polls, 1000)
	c.Rate, c.Flood = min(c.Rate, 50), min(c.Flood, 200)
	dir, err := os.MkdirTemp("", "load")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	for _, hosted := range []bool{false, true} {
		ctx, stop := context.WithCancel(context.Background())
		err := func() error {
			s, err := startDeployment(ctx, c, dir, hosted)
			if err != nil {
				return err
			}
			key := ""
			if hosted {
				if key, err = s.createTenant(c, "calm", "red"); err != nil {
					return err
				}
			}
			line, err := s.measurePollCost(c, key)
			if err != nil {
				return err
			}
			fmt.Printf("tenants %v: %s\n", hosted, line)
			if !hosted {
				return nil
			}
			floodKey, err := s.createTenant(c, "loud", "blue")
			if err != nil {
				return err
			}
			fmt.Println("alone:       ", s.submit(key, "red", 0.8*c.Rate, c.Phase, true))
			flood := make(chan *phaseStats)
			go func() { flood <- s.submit(floodKey, "blue", c.Rate*c.Flood, c.Phase+2*time.Second, false) }()
			time.Sleep(time.Second)
			fmt.Println("beside flood:", s.submit(key, "red", 0.8*c.Rate, c.Phase, true))
			fmt.Println("the flood:   ", <-flood)
			return nil
		}()
		stop()
		if err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	return nil
}
