package controller

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/core"
)

// newControllerInCluster returns one controller of a cluster with the given number of controllers
// and partitions.
func newControllerInCluster(t *testing.T, controllers int) *Controller {
	t.Helper()
	var peers []string
	for i := range controllers - 1 {
		peers = append(peers, fmt.Sprintf(`{"label":"n-%02d","domain":"z%d","peer_addr":"10.0.0.2:8081"}`, i, i%4))
	}
	c, err := config.Parse(fmt.Appendf(nil, `{"label":"self","domain":"z0","api_addr":"10.0.0.1:8080","peer_listen":"10.0.0.1:8081","peers":[%s],
"external":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},"deployment":{"initial_size":%d,"zones":["z0"],"teams":[{"name":"red"}],
"workers":{"report_s":3,"lease_s":30,"cancel_s":60},"state":{"rps":150,"write_rps":50,"value_kb":8,"txn_ops":12},"cloud":{"rps":10}}}`,
		strings.Join(peers, ","), controllers))
	if err != nil {
		t.Fatal(err)
	}
	n := New(c, 1)
	n.core.Now = 1
	return n
}

// putJobValue applies the record of a job at a revision, and returns the job.
func putJobValue(t testing.TB, n *Controller, value clusterstate.JobValue, revision api.Revision) *core.Job {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.core.State.Put(clusterstate.KeyJob+string(value.Spec.Ref), data, revision); err != nil {
		t.Fatal(err)
	}
	return n.core.State.Jobs[value.Spec.Ref]
}
