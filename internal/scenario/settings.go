package scenario

import (
	"fmt"
	"slices"
	"strings"

	"basaltwall/api"
	"basaltwall/config"
)

// This file builds the controllers' settings and the cloud's machine types, and has the steps that
// change them before the deployment starts.

const settingsFormat = `{"label":"stone-%d","domain":%q,"api_addr":"10.0.0.%d:8080","peer_listen":"10.0.0.%d:8081",
"peers":[%s],"external":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
"deployment":{"initial_size":%d,"zones":["a","b","c"],
"teams":[{"name":"red","cpus":16,"cpus_max":0,"gpus":2,"gpus_max":4},{"name":"blue","cpus":8,"cpus_max":0,"gpus":0,"gpus_max":0}],
"objectives":[{"kind":"finished","class":"batch","within_s":120,"share":0.9}],
"workers":{"report_s":3,"lease_s":30,"gang_wait_s":30,"gang_peer_s":5,"cancel_s":60},
"state":{"rps":150,"write_rps":50,"value_kb":8,"txn_ops":12},"cloud":{"rps":10,"list_lag_s":5},
"limits":{"cpu_share":0.36,"memory_mb":300,"fd_limit":2000},"clock_error_ms":250}}`

const peerFormat = `{"label":"stone-%d","domain":%q,"peer_addr":"10.0.0.%d:8081"}`

// objectiveShare is the share of jobs that must meet an objective of a script.
const objectiveShare = 0.9

// parseConfigs returns the settings of one controller in each of the zones.
func parseConfigs(zones []string) ([]*config.Config, error) {
	var out []*config.Config
	for i := range zones {
		var peers []string
		for k := range zones {
			if k != i {
				peers = append(peers, fmt.Sprintf(peerFormat, k, zones[k], k+1))
			}
		}
		c, err := config.Parse(fmt.Appendf(nil, settingsFormat, i, zones[i], i+1, i+1, strings.Join(peers, ","), len(zones)))
		if err != nil {
			return nil, err
		}
		out = append(out, c)
	}
	return out, nil
}

// configs returns the controllers' settings with the changes of the script.
func (s script) configs() ([]*config.Config, error) {
	// By default three controllers run outside the machines' zones.
	zones := []string{"region", "region", "region"}
	for _, l := range s.lines {
		if l.name == "controllers" {
			zones = l.arguments
		}
	}
	configs, err := parseConfigs(zones)
	if err != nil {
		return nil, err
	}
	for _, l := range s.lines {
		for _, c := range configs {
			if err := applySetting(&c.Deployment, l); err != nil {
				return nil, fmt.Errorf("%s: %w", l, err)
			}
		}
	}
	return configs, nil
}

// machineTypes returns the machine types that the cloud offers in the zones, or in zone a alone if the
// script has the step only-type.
func (s script) machineTypes(zones []api.Zone) []api.MachineType {
	types := []api.MachineType{
		{Name: "c8", CPUs: 8, MemGB: 32, CacheGB: 20, FetchRate: 1, Price: 1, SpotPrice: 0.4, BootSeconds: 20, Zones: zones},
		{Name: "g8", CPUs: 8, GPUs: 2, MemGB: 64, CacheGB: 20, FetchRate: 1, Price: 5, SpotPrice: 2, BootSeconds: 20, Zones: zones},
	}
	for _, l := range s.lines {
		if l.name != "only-type" {
			continue
		}
		types = slices.DeleteFunc(types, func(t api.MachineType) bool { return string(t.Name) != l.arguments[0] })
		for i := range types {
			types[i].Zones = []api.Zone{"a"}
		}
	}
	return types
}

// settingStep is a step that changes the settings of all controllers before the deployment starts.
type settingStep struct {
	form  string
	apply func(*config.Deployment, arguments)
}

var settingSteps = map[string]settingStep{
	"team-limit": {"sn", limitTeam},
	"teams":      {"nnn", replaceTeams},
	"objective":  {"ssn", addObjective},
	"state-limits": {"nn", func(deployment *config.Deployment, a arguments) {
		deployment.State.ValueKB, deployment.State.TxnOps = a.numbers[0], int(a.numbers[1])
	}},
	"only-type": {"s", func(deployment *config.Deployment, _ arguments) {
		deployment.Zones = []api.Zone{"a"}
	}},
}

// applySetting applies a line to the settings, if its step changes settings.
func applySetting(deployment *config.Deployment, l line) error {
	if l.name == "zones" {
		deployment.Zones = nil
		for _, z := range l.arguments {
			deployment.Zones = append(deployment.Zones, api.Zone(z))
		}
		return nil
	}
	step, ok := settingSteps[l.name]
	if !ok {
		return nil
	}
	a, err := parseArguments(l.arguments, step.form)
	if err != nil {
		return err
	}
	step.apply(deployment, a)
	return nil
}

// isSetting reports whether a step changes settings.
func isSetting(name string) bool {
	_, ok := settingSteps[name]
	return ok || name == "zones" || name == "controllers"
}

func limitTeam(deployment *config.Deployment, a arguments) {
	for i := range deployment.Teams {
		if string(deployment.Teams[i].Name) == a.names[0] {
			deployment.Teams[i].CPUsMax = a.numbers[0]
		}
	}
}

func replaceTeams(deployment *config.Deployment, a arguments) {
	deployment.Teams = nil
	for i := range int(a.numbers[0]) {
		name := api.Team(fmt.Sprintf("team-%d", i))
		deployment.Teams = append(deployment.Teams, config.Team{Name: name, GPUs: a.numbers[1], GPUsMax: a.numbers[2]})
	}
}

func addObjective(deployment *config.Deployment, a arguments) {
	deployment.Objectives = append(deployment.Objectives, config.Objective{
		Kind: a.names[0], Class: api.Class(a.names[1]), Within: a.numbers[0], Share: objectiveShare,
	})
}
