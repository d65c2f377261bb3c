package operations

import (
	"strings"
	"testing"
)

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings([]byte(`{"drained":["i-7"],"idle_hold_s":5,"no_rent":true,"revision":3}`))
	if err != nil || len(s.Drained) != 1 || s.IdleTimeout != 5 || !s.DisableScaleOut || s.Revision != 3 {
		t.Errorf("%+v, %v", s, err)
	}
	for body, want := range map[string]string{
		`{"other":1}`:           `json: unknown field "other"`,
		`{"revision":"x"}`:      "revision: wrong type",
		`{"idle_hold_s":-1}`:    "idle_hold_s: must be between 0 and 86400",
		`{"idle_hold_s":86401}`: "idle_hold_s: must be between 0 and 86400",
		`{"drained":[""]}`:      "drained: not a machine's name",
		`{"drained":["` + strings.Repeat("x", maxMachineIDBytes+1) + `"]}`:      "drained: not a machine's name",
		`{"drained":["i"` + strings.Repeat(`,"i"`, maxDrained) + `]}`:           "drained: more than 200 machines",
		`{"drained":["i"` + strings.Repeat(`,"i"`, maxDrained) + `],"idle":{}}`: `json: unknown field "idle"`,
	} {
		if _, err := ParseSettings([]byte(body)); err == nil || err.Error() != want {
			t.Errorf("%.60s: %v, want %q", body, err, want)
		}
	}
}
