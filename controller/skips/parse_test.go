package skips

import (
	"errors"
	"strings"
	"testing"

	"basaltwall/controller/message"
	"basaltwall/skipledger"
	"basaltwall/tenant"
)

func parseTestRequest(operation, body string) (*skipledger.Request, error) {
	return parseRequest(message.AdminRequest{What: message.AdminChangeSkip, ID: "hof-nord", Sub: operation, Body: []byte(body)})
}

func TestParseRequest(t *testing.T) {
	for _, test := range []struct{ operation, body string }{
		{"offer", `{"name":"first","kind":"six","from":"2026-12-01","to":"2026-12-03","for_s":60}`},
		{"offer", `{"name":"first","skip":"six-1","from":"2026-12-01","to":"2026-12-03"}`},
		{"promise", `{"name":"first","site":"quay","kind":"six","from":"2026-12-01","to":"2026-12-03"}`},
		{"promise", `{"name":"first","site":"quay","skip":"six-1","number":7}`},
		{"release", `{"skip":"six-1","number":7}`},
		{"deliver", `{"skip":"six-1","number":7}`},
		{"return", `{"skip":"six-1","number":7}`},
		{"out", `{"skip":"six-1"}`},
		{"in", `{"skip":"six-1"}`},
		{"import", `{"skips":[{"skip":"six-1","kind":"six"}]}`},
	} {
		request, err := parseTestRequest(test.operation, test.body)
		if err != nil {
			t.Errorf("%s %s: %v", test.operation, test.body, err)
			continue
		}
		if request.Type != operationTypes[test.operation] || request.Depot != "hof-nord" {
			t.Errorf("%s %s: %+v", test.operation, test.body, request)
		}
	}
}

// The refusal of a request names the first invalid field.
func TestParseRequestNamesTheField(t *testing.T) {
	for _, test := range []struct{ operation, body, field string }{
		{"offer", `{}`, "name"},
		{"offer", `{"name":7}`, "name"},
		{"offer", `{"name":"first","number":7}`, "site"},
		{"offer", `{"name":"first","site":"quay"}`, "site"},
		{"offer", `{"name":"first"}`, "kind"},
		{"offer", `{"name":"first","skip":"six-1","kind":"six"}`, "kind"},
		{"offer", `{"name":"first","kind":"` + strings.Repeat("x", maxTextBytes+1) + `"}`, "kind"},
		{"offer", `{"name":"first","kind":"six","from":"today"}`, "from"},
		{"offer", `{"name":"first","kind":"six","from":"2026-12-01","to":"later"}`, "to"},
		{"offer", `{"name":"first","kind":"six","from":"2026-12-01","to":"2026-12-01"}`, "to"},
		{"offer", `{"name":"first","kind":"six","from":"2026-12-01","to":"2028-12-01"}`, "to"},
		{"offer", `{"name":"first","kind":"six","from":"2026-12-01","to":"2026-12-02","for_s":0}`, "for_s"},
		{"promise", `{"name":"first"}`, "site"},
		{"promise", `{"name":"first","site":"quay","number":7}`, "skip"},
		{"release", `{}`, "skip"},
		{"release", `{"skip":"six-1"}`, "number"},
		{"out", `{"skip":"a\u0007b"}`, "skip"},
		{"import", `{"skips":[]}`, "skips"},
		{"import", `{"skips":[{"skip":"six-1","kind":"six"},{"skip":"six-2"}]}`, "skips[1].kind"},
	} {
		_, err := parseTestRequest(test.operation, test.body)
		var refusal *tenant.Error
		if !errors.As(err, &refusal) || refusal.Status != 400 || refusal.Field != test.field {
			t.Errorf("%s %s: %v, want field %q", test.operation, test.body, err, test.field)
		}
	}
}
