package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"basaltwall/api"
	"basaltwall/internal/exactjson"
)

// Limits and intervals of a phase of submissions.
const (
	maxRequestsInFlight = 64
	startPolls          = 200 // maximum per job
	startPollInterval   = 20 * time.Millisecond
)

// maxRecordedMicros is the upper end of a phase's histograms.
const maxRecordedMicros = 60_000_000

// phaseStats has the results of a tenant's submissions in a phase.
type phaseStats struct {
	mu                              sync.Mutex
	acceptLatency, startLatency     *hdrhistogram.Histogram // microseconds
	sent, accepted, refused, failed int
}

// newPhaseStats returns empty statistics.
func newPhaseStats() *phaseStats {
	return &phaseStats{acceptLatency: hdrhistogram.New(1, maxRecordedMicros, 3), startLatency: hdrhistogram.New(1, maxRecordedMicros, 3)}
}

// String summarizes the phase in a line.
func (s *phaseStats) String() string {
	return fmt.Sprintf("%d sent, %d accepted, %d refused with 429, %d failed; acceptance p50 %.1f ms, p99 %.1f ms; start p50 %.0f ms, p99 %.0f ms (%d jobs)",
		s.sent, s.accepted, s.refused, s.failed, quantileMillis(s.acceptLatency, 50), quantileMillis(s.acceptLatency, 99),
		quantileMillis(s.startLatency, 50), quantileMillis(s.startLatency, 99), s.startLatency.TotalCount())
}

// quantileMillis returns a quantile, in percent, of a histogram in microseconds, in milliseconds.
func quantileMillis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// recordSince records the time since begun. The caller must hold the lock of the histogram.
func recordSince(h *hdrhistogram.Histogram, begun time.Time) {
	_ = h.RecordValue(max(1, time.Since(begun).Microseconds()))
}

// jobTemplate is the body of a submission; its parameters are the job's number and team.
const jobTemplate = `{"ref":"run-%d","mestiere":"load","bottega":"%s","forma":"sweep","urgenza":"normal","pezzi":1,"cores":0.1,"gpus":0,"ram_gb":0.1,
"stampo":"img","image_gb":0.1,"together":false,"scatter":false,"avanzi":false,"stima_s":1,"tappa_s":0,"salvo_s":0}`

// submissionPhase is a stream of submissions of one tenant.
type submissionPhase struct {
	key, team    string
	rate         float64 // submissions per second
	duration     time.Duration
	waitForStart bool // poll each job until it has started
}

// submitPhase submits jobs at a phase's rate. It skips submissions while too many requests are in flight.
func (d *hostedDeployment) submitPhase(ctx context.Context, phase submissionPhase) *phaseStats {
	stats := newPhaseStats()
	var wait sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / phase.rate))
	defer tick.Stop()
	slots := make(chan struct{}, maxRequestsInFlight)
	for end := time.Now().Add(phase.duration); time.Now().Before(end); {
		<-tick.C
		select {
		case slots <- struct{}{}:
		default:
			continue
		}
		number := d.jobNumber.Add(1)
		wait.Go(func() {
			defer func() { <-slots }()
			d.submitJob(ctx, phase, number, stats)
		})
	}
	wait.Wait()
	return stats
}

// submitJob submits a job and, if the phase requires it, waits until the job has started.
func (d *hostedDeployment) submitJob(ctx context.Context, phase submissionPhase, number int64, stats *phaseStats) {
	begun := time.Now()
	status, _, err := d.request(ctx, int(number), http.MethodPost, api.PathJobs, phase.key, fmt.Appendf(nil, jobTemplate, number, phase.team))
	stats.countSubmission(status, err, begun)
	if phase.waitForStart && status == http.StatusCreated {
		d.awaitStart(ctx, phase.key, number, begun, stats)
	}
}

func (s *phaseStats) countSubmission(status int, err error, begun time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	switch {
	case err == nil && status == http.StatusCreated:
		s.accepted++
		recordSince(s.acceptLatency, begun)
	case status == http.StatusTooManyRequests:
		s.refused++
	default:
		s.failed++
	}
}

// awaitStart polls a job until it has started, at another controller than the one that accepted it.
func (d *hostedDeployment) awaitStart(ctx context.Context, key string, number int64, begun time.Time, stats *phaseStats) {
	for range startPolls {
		_, body, err := d.request(ctx, int(number)+1, http.MethodGet, jobPath(number), key, nil)
		var job api.JobStatus
		if err == nil && exactjson.Decode(body, &job) == nil && (job.State == api.JobRunning || job.State == api.JobDone) {
			stats.mu.Lock()
			defer stats.mu.Unlock()
			recordSince(stats.startLatency, begun)
			return
		}
		time.Sleep(startPollInterval)
	}
}

// jobPath returns the API path of a job.
func jobPath(number int64) string { return fmt.Sprintf("%s/run-%d", api.PathJobs, number) }
