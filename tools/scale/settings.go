package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"basaltwall/internal/emulator"
	"basaltwall/internal/exactjson"
)

const (
	settingsPollInterval = 20 * time.Millisecond
	settingsTimeout      = 30 * time.Second
	baseIdleHold         = 3600 // seconds; changes alternate between this value and one more
)

// settingsRevision has the revision of the settings in a response of the administration API.
type settingsRevision struct {
	Revision uint64 `json:"revision"`
}

// changeSettings changes the operators' settings through the administration API of each controller in turn,
// and records the latency until all controllers apply each change.
func (r *experimentRun) changeSettings(ctx context.Context, window time.Duration) error {
	if r.experiment.SettingsChangeRate <= 0 {
		return nil
	}
	tick := time.NewTicker(time.Duration(float64(time.Second) / r.experiment.SettingsChangeRate))
	defer tick.Stop()
	end := time.After(window)
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-end:
			return nil
		case <-tick.C:
			r.changeSettingsOnce(ctx, i%len(r.processes), i)
		}
	}
}

// changeSettingsOnce makes one change at a controller and waits until all controllers apply it.
func (r *experimentRun) changeSettingsOnce(ctx context.Context, at, round int) {
	var settings map[string]json.RawMessage // all are sent back unchanged except one
	if r.cluster().getJSON(ctx, at, pathSettings, &settings) != nil {
		return
	}
	settings["idle_hold_s"] = strconv.AppendInt(nil, int64(baseIdleHold+round%2), 10)
	body, err := json.Marshal(settings)
	if err != nil {
		return
	}
	begun := time.Now()
	status, body, err := r.cluster().request(ctx, at, http.MethodPut, pathSettings, "", body)
	var changed settingsRevision
	if err != nil || status != http.StatusOK || exactjson.Decode(body, &changed) != nil {
		return
	}
	for i := range r.processes {
		if r.awaitSettings(ctx, i, changed, begun.Add(settingsTimeout)) != nil {
			return
		}
	}
	took := time.Since(begun)
	r.fleet.WithSimulation(func(*emulator.Simulation) { r.latencies.add(latencySettings, took) })
}

// awaitSettings waits until a controller applies a revision of the settings, or until a deadline. It
// returns an error only if the context is done.
func (r *experimentRun) awaitSettings(ctx context.Context, index int, changed settingsRevision, deadline time.Time) error {
	for time.Now().Before(deadline) {
		var current settingsRevision
		if r.cluster().getJSON(ctx, index, pathSettings, &current) == nil && current.Revision >= changed.Revision {
			return nil
		}
		if err := sleep(ctx, settingsPollInterval); err != nil {
			return err
		}
	}
	return nil
}
