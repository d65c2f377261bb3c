package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"time"

	"basaltwall/api"
	"basaltwall/controller/tenancy"
	"basaltwall/internal/emulator"
	"basaltwall/internal/exactjson"
	"basaltwall/tenant"
)

// Size of the hosted deployment.
const (
	hostedControllers = 3
	hostedMachines    = 8
)

// Intervals and timeouts of the hosted deployment.
const (
	hostedReadyTimeout   = 20 * time.Second
	hostedReadyInterval  = 100 * time.Millisecond
	hostedSettle         = 2 * time.Second // until all partitions have owners and all machines have sent heartbeats
	hostedRequestTimeout = 5 * time.Second
)

// tenantRetention is the retention of a tenant's ended jobs, in seconds.
const tenantRetention = 60

// hostedDeployment is a set of controller processes with emulators of their environment.
type hostedDeployment struct {
	cluster
	jobNumber atomic.Int64
}

// startDeployment starts the emulators and the controllers and waits until they are ready. They stop with
// the context.
func startDeployment(ctx context.Context, program, dir string, hosted bool) (*hostedDeployment, error) {
	live, err := emulator.StartLive(ctx, hostedControllers, hostedMachines)
	if err != nil {
		return nil, err
	}
	d := &hostedDeployment{cluster: cluster{client: &http.Client{Timeout: hostedRequestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}}
	for _, config := range live.Configs {
		d.addresses = append(d.addresses, config.APIAddr)
	}
	args := []string{}
	if hosted {
		file := filepath.Join(dir, "admin.key")
		if d.key, err = writeAdminKey(file); err != nil {
			return nil, err
		}
		args = append(args, "--hosted", "--admin-key-file", file)
	}
	for i, settings := range live.SettingsFiles {
		file := filepath.Join(dir, fmt.Sprintf("%d.json", i))
		if err := os.WriteFile(file, settings, 0o600); err != nil {
			return nil, err
		}
		if err := startHostedController(ctx, program, append(args, "--config", file)); err != nil {
			return nil, err
		}
	}
	if err := awaitReady(ctx, &d.cluster, hostedReadyTimeout, hostedReadyInterval); err != nil {
		return nil, err
	}
	return d, sleep(ctx, hostedSettle)
}

// writeAdminKey writes an administration key to a file and returns its secret.
func writeAdminKey(file string) (string, error) {
	_, secret, err := tenant.NewKey([tenant.KeyRandomBytes]byte{3}, "admin", 0, 0)
	if err != nil {
		return "", err
	}
	return secret.String(), os.WriteFile(file, []byte(secret.String()), 0o600)
}

// startHostedController starts a controller process, which is killed when the context is done.
func startHostedController(ctx context.Context, program string, args []string) error {
	cmd := exec.CommandContext(ctx, program, args...)
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+defaultLogLevel)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("controller: %w", err)
	}
	go func() { _ = cmd.Wait() }()
	return nil
}

// newTenant is the body of the request that creates a tenant.
type newTenant struct {
	Revision  api.Revision `json:"revision"`
	Teams     []string     `json:"teams"`
	Rate      float64      `json:"rate"`
	Burst     float64      `json:"burst"`
	Retention float64      `json:"retention_s"`
}

// newTenantKey is the body of the request that creates a tenant's key.
type newTenantKey struct {
	Revision api.Revision `json:"revision"`
	Name     string       `json:"name"`
}

// createTenant creates a tenant with a rate limit in submissions per second, and returns a key for it.
func (d *hostedDeployment) createTenant(ctx context.Context, name, team string, rate float64) (string, error) {
	var created tenancy.TenantView
	err := d.change(ctx, http.MethodPut, pathTenants+name, newTenant{Teams: []string{team}, Rate: rate, Burst: 2 * rate, Retention: tenantRetention}, &created)
	if err != nil {
		return "", fmt.Errorf("tenant %s: %w", name, err)
	}
	var key tenancy.NewKeyView
	if err := d.change(ctx, http.MethodPost, pathTenants+name+"/keys", newTenantKey{Revision: created.Revision, Name: "load"}, &key); err != nil {
		return "", fmt.Errorf("key of %s: %w", name, err)
	}
	return key.Secret, nil
}

// change sends a change to the administration API and decodes the response.
func (d *hostedDeployment) change(ctx context.Context, method, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	status, response, err := d.request(ctx, 0, method, path, d.key, data)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return &statusError{status, response}
	}
	return exactjson.Decode(response, into)
}

// cpuSeconds returns the processor time of all controllers, in seconds.
func (d *hostedDeployment) cpuSeconds(ctx context.Context) float64 {
	sum := 0.0
	for i := range d.addresses {
		var metrics struct {
			Processor float64 `json:"processor_s"`
		}
		if d.getJSON(ctx, i, pathMetrics, &metrics) == nil {
			sum += metrics.Processor
		}
	}
	return sum
}
