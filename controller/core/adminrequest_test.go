package core

import (
	"errors"
	"testing"

	"basaltwall/api"
	"basaltwall/tenant"
)

// TestDecodeRequestErrors checks the errors returned to operators for a body that can't be decoded.
func TestDecodeRequestErrors(t *testing.T) {
	type request struct {
		Count    int             `json:"count"`
		Networks tenant.Networks `json:"networks"`
	}
	for _, test := range []struct {
		name, body string
		want       tenant.Error
	}{
		{"wrong type", `{"count":"x"}`, tenant.Error{Status: api.StatusBadRequest, Field: "count", Reason: "wrong type"}},
		{"wrong type of body", `5`, tenant.Error{Status: api.StatusBadRequest, Reason: "wrong type"}},
		{
			"wrong type in a value with its own UnmarshalJSON", `{"networks":5}`,
			tenant.Error{Status: api.StatusBadRequest, Reason: "networks: json: cannot unmarshal number into Go value of type []string"},
		},
		{"unknown field", `{"other":1}`, tenant.Error{Status: api.StatusBadRequest, Reason: `json: unknown field "other"`}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var refusal *tenant.Error
			if err := DecodeRequest([]byte(test.body), &request{}); !errors.As(err, &refusal) {
				t.Fatalf("%v is not a *tenant.Error", err)
			}
			if *refusal != test.want {
				t.Errorf("got %+v, want %+v", *refusal, test.want)
			}
		})
	}
	target := request{Count: 3}
	if err := DecodeRequest(nil, &target); err != nil || target.Count != 3 {
		t.Errorf("empty body: got error %v and target %+v", err, target)
	}
}
