package main

import (
	"context"
	"fmt"
	"os"
	"time"
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

// Bounds of what the flags may ask for.
const (
	maxPhase      = time.Minute
	maxPolls      = 1000
	maxTenantRate = 50
	maxFlood      = 200
)

// The tenants and the teams that they submit for.
const (
	calmTenant  = "calm"
	calmTeam    = "red"
	floodTenant = "loud"
	floodTeam   = "blue"
)

// calmShare is how much of its agreed rate the tenant uses that keeps within it.
const calmShare = 0.8

// Times of a measurement.
const (
	floodLead       = time.Second     // of the flood, before the calm tenant begins beside it
	floodExtra      = 2 * time.Second // that the flood lasts longer than a phase
	deploymentPause = time.Second     // between two deployments
)

// Run measures without tenants and with them.
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
