package server

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// TestSkipsOnLoopback reserves skips through the administration API of two controllers. Both see the same
// bookings, a repeated request gets the same response, and an error names the invalid field.
func TestSkipsOnLoopback(t *testing.T) {
	live := startControllers(t, 2, 2, nil)
	call := func(node int, method, path, body string) (int, string) {
		code, answer, _ := sendRequest(t, method, "http://"+live.Configs[node].APIAddr+"/admin/v1/skips"+path, "", body)
		return code, answer
	}
	expect := newExpect(t)
	for node := range live.Configs {
		eventually(t, "skips imported", func() bool {
			code, _ := call(node, "POST", "/hof/import", `{"skips":[{"skip":"six-1","kind":"six"},{"skip":"six-2","kind":"six"}]}`)
			return code == 200
		})
	}
	for what, bad := range map[string][2]string{"unknown field": {`{"colour":1}`, "colour"}, "missing name": {`{"kind":"six"}`, "name:"}, "missing site": {`{"name":"a","kind":"six","from":"2026-12-01","to":"2026-12-02"}`, "site:"},
		"invalid date": {`{"name":"a","site":"s","kind":"six","from":"1.12.","to":"2026-12-02"}`, "from:"}, "end not after start": {`{"name":"a","site":"s","kind":"six","from":"2026-12-02","to":"2026-12-02"}`, "to:"},
		"neither kind nor skip": {`{"name":"a","site":"s","from":"2026-12-01","to":"2026-12-02"}`, "kind:"}, "wrong type": {`{"name":1}`, "name"}, "name too long": {`{"name":"` + strings.Repeat("n", 41) + `"}`, "name:"}} {
		expect(what, 400, bad[1])(call(0, "POST", "/hof/promise", bad[0]))
	}
	expect("release without a number", 400, "number:")(call(0, "POST", "/hof/release", `{"skip":"six-1"}`))
	expect("release of an unknown skip", 404, "no such skip")(call(0, "POST", "/hof/release", `{"skip":"six-9","number":3}`))
	expect("unknown operation", 404, "")(call(0, "POST", "/hof/paint", `{}`))
	days := `"from":"2026-12-01","to":"2026-12-04"`
	first := expect("promise a skip", 200, `"promised"`)(call(0, "POST", "/hof/promise", `{"name":"a","site":"s1","kind":"six",`+days+`}`))
	if again := expect("repeated promise at the other controller", 200, `"promised"`)(call(1, "POST", "/hof/promise", `{"name":"a","site":"s1","kind":"six",`+days+`}`)); again != first {
		t.Errorf("%s, then %s", first, again)
	}
	expect("request name reused for another site", 409, "name")(call(1, "POST", "/hof/promise", `{"name":"a","site":"s2","kind":"six",`+days+`}`))
	var offer struct {
		Skip   string `json:"skip"`
		Number uint64 `json:"number"`
	}
	if err := json.Unmarshal([]byte(expect("offer a skip", 200, `"offered"`)(call(1, "POST", "/hof/offer", `{"name":"b","kind":"six",`+days+`}`))), &offer); err != nil {
		t.Fatal(err)
	}
	expect("offer without a free skip", 409, "none of that kind")(call(0, "POST", "/hof/offer", `{"name":"c","kind":"six",`+days+`}`))
	expect("offer for days without overlap", 200, "")(call(0, "POST", "/hof/offer", `{"name":"d","kind":"six","from":"2026-12-04","to":"2026-12-05"}`))
	expect("promise the offered skip", 200, `"promised"`)(call(0, "POST", "/hof/promise", fmt.Sprintf(`{"name":"e","site":"s2","skip":%q,"number":%d}`, offer.Skip, offer.Number)))
	expect("deliver the skip", 200, `"delivered"`)(call(1, "POST", "/hof/deliver", fmt.Sprintf(`{"skip":%q,"number":%d}`, offer.Skip, offer.Number)))
	expect("release of a delivered skip", 409, "delivered")(call(1, "POST", "/hof/release", fmt.Sprintf(`{"skip":%q,"number":%d}`, offer.Skip, offer.Number)))
	expect("return the skip", 200, `"back"`)(call(0, "POST", "/hof/return", fmt.Sprintf(`{"skip":%q,"number":%d}`, offer.Skip, offer.Number)))
	expect("list of the depot's skips", 200, `"site":"s1"`)(call(1, "GET", "/hof", ""))
	expect("counts of skips", 200, `"about_s_old"`)(call(1, "GET", "", ""))
}
