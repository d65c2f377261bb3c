package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// tenantsCmd measures a hosted service of real controller processes and emulators: the latencies of a
// tenant within its rate limit, alone and while another tenant floods submissions, and the cost of a
// request with and without tenants.
type tenantsCmd struct {
	Program string        `default:"target/basaltwall" type:"existingfile" help:"Program to measure."`
	Phase   time.Duration `default:"15s" help:"Duration of each phase, at most a minute."`
	Rate    float64       `default:"5" help:"Rate limit of each tenant in submissions per second."`
	Flood   float64       `default:"50" help:"Submission rate of the flooding tenant, as a multiple of its rate limit."`
	Polls   float64       `default:"300" help:"Polls per second for the cost of a request, at most 1000."`
}

// Upper bounds of the flags.
const (
	maxPhase      = time.Minute
	maxPolls      = 1000
	maxTenantRate = 50
	maxFlood      = 200
)

// Names of the tenants and of their teams.
const (
	calmTenant  = "calm"
	calmTeam    = "red"
	floodTenant = "loud"
	floodTeam   = "blue"
)

// calmShare is the share of its rate limit that the calm tenant uses.
const calmShare = 0.8

// Durations of a measurement.
const (
	floodLead       = time.Second     // between the start of the flood and that of the calm tenant
	floodExtra      = 2 * time.Second // duration of the flood beyond that of a phase
	deploymentPause = time.Second     // between two deployments
)

// Run measures a deployment without tenants and one with tenants.
func (c *tenantsCmd) Run() error {
	c.Phase, c.Polls = min(c.Phase, maxPhase), min(c.Polls, maxPolls)
	c.Rate, c.Flood = min(c.Rate, maxTenantRate), min(c.Flood, maxFlood)
	dir, err := os.MkdirTemp("", "load")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	for _, hosted := range []bool{false, true} {
		if err := c.measureDeployment(dir, hosted); err != nil {
			return err
		}
		time.Sleep(deploymentPause)
	}
	return nil
}

// measureDeployment starts a deployment, measures it and stops it.
func (c *tenantsCmd) measureDeployment(dir string, hosted bool) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	d, err := startDeployment(ctx, c.Program, dir, hosted)
	if err != nil {
		return err
	}
	key := ""
	if hosted {
		if key, err = d.createTenant(ctx, calmTenant, calmTeam, c.Rate); err != nil {
			return err
		}
	}
	cost, err := d.measurePollCost(ctx, key, c.Polls, c.Phase)
	if err != nil {
		return err
	}
	fmt.Printf("tenants %v: %s\n", hosted, cost)
	if !hosted {
		return nil
	}
	floodKey, err := d.createTenant(ctx, floodTenant, floodTeam, c.Rate)
	if err != nil {
		return err
	}
	calm := submissionPhase{key: key, team: calmTeam, rate: calmShare * c.Rate, duration: c.Phase, waitForStart: true}
	fmt.Println("alone:       ", d.submitPhase(ctx, calm))
	flood := make(chan *phaseStats)
	go func() {
		flood <- d.submitPhase(ctx, submissionPhase{key: floodKey, team: floodTeam, rate: c.Rate * c.Flood, duration: c.Phase + floodExtra})
	}()
	time.Sleep(floodLead)
	fmt.Println("beside flood:", d.submitPhase(ctx, calm))
	fmt.Println("the flood:   ", <-flood)
	return nil
}
