package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"basaltwall/api"
)

// metricsInterval is longer than the five seconds between updates of the processor time in the controllers'
// metrics.
const metricsInterval = 6 * time.Second

// pollStats has the results of polls at a steady rate.
type pollStats struct {
	mu           sync.Mutex
	latency      *hdrhistogram.Histogram // microseconds
	done, failed int
	elapsed      time.Duration
}

// pollCost is the processor time that polls cost the controllers.
type pollCost struct {
	polls      *pollStats
	cpuSeconds float64 // of all polls
}

// String summarizes the polls and their cost in a line.
func (c pollCost) String() string {
	each := c.cpuSeconds / float64(max(1, c.polls.done))
	return fmt.Sprintf("%.0f polls per second, %d failed; p50 %.1f ms, p99 %.1f ms; %.0f microseconds of processor time per poll", float64(c.polls.done)/c.polls.elapsed.Seconds(), c.polls.failed,
		quantileMillis(c.polls.latency, 50), quantileMillis(c.polls.latency, 99), each*1e6)
}

// measurePollCost polls a running service at a rate and returns the additional processor time of the
// controllers, compared with a phase without polls.
func (d *hostedDeployment) measurePollCost(ctx context.Context, key string, rate float64, phase time.Duration) (pollCost, error) {
	number := d.jobNumber.Add(1)
	service := strings.Replace(fmt.Sprintf(jobTemplate, number, calmTeam), `"sweep"`, `"daemon"`, 1)
	status, body, err := d.request(ctx, 0, http.MethodPost, api.PathJobs, key, []byte(service))
	if err != nil {
		return pollCost{}, fmt.Errorf("service: %w", err)
	}
	if status != http.StatusCreated {
		return pollCost{}, fmt.Errorf("service: %w", &statusError{status, body})
	}
	time.Sleep(metricsInterval)
	idleStart := d.cpuSeconds(ctx)
	time.Sleep(phase)
	idle := d.cpuSeconds(ctx) - idleStart
	before := d.cpuSeconds(ctx)
	polls := d.poll(ctx, key, jobPath(number), rate, phase)
	time.Sleep(metricsInterval)
	return pollCost{polls: polls, cpuSeconds: d.cpuSeconds(ctx) - before - idle}, nil
}

// poll sends GET requests for a path at a rate, to the controllers in turn.
func (d *hostedDeployment) poll(ctx context.Context, key, path string, rate float64, phase time.Duration) *pollStats {
	stats := &pollStats{latency: hdrhistogram.New(1, 10_000_000, 3)}
	var wait sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	begun := time.Now()
	for i := 0; time.Since(begun) < phase; i++ {
		<-tick.C
		wait.Go(func() {
			sentAt := time.Now()
			status, _, err := d.request(ctx, i, http.MethodGet, path, key, nil)
			stats.count(sentAt, err == nil && status == http.StatusOK)
		})
	}
	wait.Wait()
	stats.elapsed = time.Since(begun)
	return stats
}

func (s *pollStats) count(sentAt time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ok {
		s.failed++
		return
	}
	s.done++
	recordSince(s.latency, sentAt)
}
