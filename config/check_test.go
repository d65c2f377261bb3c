package config

import (
	"encoding/json"
	"errors"
	"testing"
)

const validSettings = `{"label":"a","api_addr":"127.0.0.1:1","peer_listen":"127.0.0.1:2","external":{"cloud":"127.0.0.1:3","state":"127.0.0.1:4"},
"peers":[{"label":"b","peer_addr":"127.0.0.1:5"}],
"deployment":{"teams":[{"name":"red"}],"workers":{"report_s":1,"lease_s":1,"cancel_s":1},"state":{"rps":1,"write_rps":1,"value_kb":1,"txn_ops":2},"cloud":{"rps":1}}}`

// TestParse checks that valid settings are accepted, and that the error for an invalid setting names its
// field.
func TestParse(t *testing.T) {
	cfg, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Deployment.InitialSize != 2 {
		t.Errorf("initial size %d, expected 2", cfg.Deployment.InitialSize)
	}
	for _, c := range []struct {
		name   string
		change func(*Config)
		want   string
	}{
		{"no label", func(c *Config) { c.Label = "" }, "settings: label: missing"},
		{"peer with the label of this controller", func(c *Config) { c.Peers[0].Label = "a" }, `settings: peers: label "a" is missing or the label of this controller`},
		{"peer without an address", func(c *Config) { c.Peers[0].Addr = "" }, "settings: peers.b: not an ip:port"},
		{"invalid address", func(c *Config) { c.APIAddr = "x" }, "settings: api_addr: not an ip:port"},
		{"no heartbeat interval", func(c *Config) { c.Deployment.Workers.HeartbeatInterval = 0 }, "settings: deployment.workers.report_s: must be above 0"},
		{"negative rate", func(c *Config) { c.Deployment.Cloud.RPS = -1 }, "settings: deployment.cloud.rps: must be above 0"},
		{"value size too small", func(c *Config) { c.Deployment.State.ValueKB = 0.5 }, "settings: deployment.state.value_kb: 0.5 is less than 1"},
		{"transactions too small", func(c *Config) { c.Deployment.State.TxnOps = 1 }, "settings: deployment.state.txn_ops: 1 is less than 2"},
		{"no teams", func(c *Config) { c.Deployment.Teams = nil }, "settings: deployment.teams: missing"},
		{"negative limit", func(c *Config) { c.Deployment.Teams[0].GPUsMax = -1 }, `settings: deployment.teams: "red" has an invalid amount or no name`},
	} {
		t.Run(c.name, func(t *testing.T) {
			changed := &Config{}
			if err := json.Unmarshal([]byte(validSettings), changed); err != nil {
				t.Fatal(err)
			}
			c.change(changed)
			data, err := json.Marshal(changed)
			if err != nil {
				t.Fatal(err)
			}
			_, err = Parse(data)
			var invalid *FieldError
			if !errors.As(err, &invalid) || err.Error() != c.want {
				t.Errorf("error %q, expected %q", err, c.want)
			}
		})
	}
}
