package cloud

import (
	"fmt"
	"testing"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/httpx"
	"basaltwall/internal/golden"
)

// TestGolden checks that requests to the cloud and its responses keep the encoding of earlier versions.
func TestGolden(t *testing.T) {
	f := golden.Open(t)
	create := golden.Filled[api.ScaleOutRequest](t)
	list, types, deletion := message.CloudCall{ID: 1, List: &message.ListRequest{}}, message.CloudCall{ID: 1, Types: true}, message.CloudCall{ID: 1, Delete: []api.MachineID{"i-1", "i-2"}}
	for _, x := range []struct {
		name string
		call message.CloudCall
	}{
		{"types", types}, {"list", list}, {"list since", message.CloudCall{ID: 1, List: &message.ListRequest{Since: "i-7"}}},
		{"rent", message.CloudCall{ID: 1, Create: &create}}, {"delete", deletion},
	} {
		method, target, body, err := Request(x.call)
		if err != nil {
			t.Fatalf("%s: %v", x.name, err)
		}
		f.Text(x.name, fmt.Sprintf("%s %s\n%s", method, target, body))
	}

	catalogue, hosts, names := golden.Filled[api.MachineTypes](t), golden.Filled[api.InstanceList](t), golden.Filled[api.MachineIDList](t)
	typesData, hostsData, namesData := golden.JSON(f, "types answer", catalogue), golden.JSON(f, "list answer", hosts), golden.JSON(f, "rent answer", names)
	refusal := []byte(f.Section("refusal", `{"error":"no capacity"}`))
	for _, x := range []struct {
		name   string
		call   message.CloudCall
		status int
		body   []byte
		want   message.CloudResponse
	}{
		{"types answer", types, 200, typesData, message.CloudResponse{Types: catalogue.Types}},
		{"list answer", list, 200, hostsData, message.CloudResponse{MachineList: hosts}},
		{"rent answer", message.CloudCall{ID: 1, Create: &create}, 200, namesData, message.CloudResponse{Machines: names.Machines}},
		{"rent refused", message.CloudCall{ID: 1, Create: &create}, 503, refusal, message.CloudResponse{NoCapacity: true}},
		{"rent failed", message.CloudCall{ID: 1, Create: &create}, 503, []byte(`{"error":"later"}`), message.CloudResponse{}},
		{"delete answer", deletion, 200, []byte(`{}`), message.CloudResponse{}},
	} {
		x.want.ID, x.want.Status = 1, x.status
		golden.Same(t, x.name, ParseResponse(x.call, httpx.Response{Status: x.status, Body: x.body}, nil), x.want)
	}
}
