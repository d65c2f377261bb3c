package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"basaltwall/internal/emulator"
)

const (
	settingsPollInterval = 20 * time.Millisecond
	settingsTimeout      = 30 * time.Second
	baseIdleHold         = 3600 // seconds; changes set it to this and to one more by turns
)

// settingsRevision is what is read of the settings as the administration API shows them.
type settingsRevision struct {
	Revision uint64 `json:"revision"`
}

// changeSettings changes the operators' settings through the administration API, by turns at all
// controllers, and times until every controller acts by each change.
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

// changeSettingsOnce makes one change at a controller and waits until it is in force everywhere.
func (r *experimentRun) changeSettingsOnce(ctx context.Context, at, round int) {
	var settings map[string]json.RawMessage // sent back as they are but for one
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
	var made settingsRevision
	if err != nil || status != http.StatusOK || json.Unmarshal(body, &made) != nil {
		return
	}
	for i := range r.processes {
		if r.awaitSettings(ctx, i, made, begun.Add(settingsTimeout)) != nil {
			return
		}
	}
	took := time.Since(begun)
	r.fleet.Do(func(*emulator.Simulation) { r.latencies.add(latencySettings, took) })
}

// awaitSettings waits until a controller acts by a revision of the settings, or until a time. It is an
// error only if the context is over.
func (r *experimentRun) awaitSettings(ctx context.Context, index int, made settingsRevision, end time.Time) error {
	for time.Now().Before(end) {
		var current settingsRevision
		if r.cluster().getJSON(ctx, index, pathSettings, &current) == nil && current.Revision >= made.Revision {
			return nil
		}
		if err := sleep(ctx, settingsPollInterval); err != nil {
			return err
		}
	}
	return nil
}
