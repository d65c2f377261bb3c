package server

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// Skips are promised over the administration API of any controller: what one has answered the
// other knows, a repeated request gets its answer, and bad input names its field.
func TestSkipsOnLoopback(t *testing.T) {
	live := startControllers(t, 2, 2, nil)
	call := func(node int, method, path, body string) (int, string) {
		code, answer, _ := sendRequest(t, method, "http://"+live.Configs[node].APIAddr+"/admin/v1/skips"+path, "", body)
		return code, answer
	}
	expect := newExpect(t)
	for node := range live.Configs {
		eventually(t, "skips are imported", func() bool {
			code, _ := call(node, "POST", "/hof/import", `{"skips":[{"skip":"six-1","kind":"six"},{"skip":"six-2","kind":"six"}]}`)
			return code == 200
		})
	}
	for what, bad := range map[string][2]string{"an unknown field": {`{"colour":1}`, "colour"}, "no name": {`{"kind":"six"}`, "name:"}, "no site": {`{"name":"a","kind":"six","from":"2026-12-01","to":"2026-12-02"}`, "site:"},
		"no day": {`{"name":"a","site":"s","kind":"six","from":"1.12.","to":"2026-12-02"}`, "from:"}, "backwards": {`{"name":"a","site":"s","kind":"six","from":"2026-12-02","to":"2026-12-02"}`, "to:"},
		"neither kind nor skip": {`{"name":"a","site":"s","from":"2026-12-01","to":"2026-12-02"}`, "kind:"}, "a wrong type": {`{"name":1}`, "name"}, "too long": {`{"name":"` + strings.Repeat("n", 41) + `"}`, "name:"}} {
		expect(what, 400, bad[1])(call(0, "POST", "/hof/promise", bad[0]))
	}
	expect("a number missing", 400, "number:")(call(0, "POST", "/hof/release", `{"skip":"six-1"}`))
	expect("an unknown skip", 404, "no such skip")(call(0, "POST", "/hof/release", `{"skip":"six-9","number":3}`))
	expect("no such change", 404, "")(call(0, "POST", "/hof/paint", `{}`))
	days := `"from":"2026-12-01","to":"2026-12-04"`
	first := expect("a promise", 200, `"promised"`)(call(0, "POST", "/hof/promise", `{"name":"a","site":"s1","kind":"six",`+days+`}`))
	if again := expect("the same once more, elsewhere", 200, `"promised"`)(call(1, "POST", "/hof/promise", `{"name":"a","site":"s1","kind":"six",`+days+`}`)); again != first {
		t.Errorf("%s, then %s", first, again)
	}
	expect("the name for another", 409, "name")(call(1, "POST", "/hof/promise", `{"name":"a","site":"s2","kind":"six",`+days+`}`))
	var offer struct {
		Skip   string `json:"skip"`
		Number uint64 `json:"number"`
	}
	if err := json.Unmarshal([]byte(expect("an offer", 200, `"offered"`)(call(1, "POST", "/hof/offer", `{"name":"b","kind":"six",`+days+`}`))), &offer); err != nil {
		t.Fatal(err)
	}
	expect("a third", 409, "none of that kind")(call(0, "POST", "/hof/offer", `{"name":"c","kind":"six",`+days+`}`))
	expect("days that do not meet", 200, "")(call(0, "POST", "/hof/offer", `{"name":"d","kind":"six","from":"2026-12-04","to":"2026-12-05"}`))
	expect("the offer is taken", 200, `"promised"`)(call(0, "POST", "/hof/promise", fmt.Sprintf(`{"name":"e","site":"s2","skip":%q,"number":%d}`, offer.Skip, offer.Number)))
	expect("delivered", 200, `"delivered"`)(call(1, "POST", "/hof/deliver", fmt.Sprintf(`{"skip":%q,"number":%d}`, offer.Skip, offer.Number)))
	expect("released while it is out", 409, "delivered")(call(1, "POST", "/hof/release", fmt.Sprintf(`{"skip":%q,"number":%d}`, offer.Skip, offer.Number)))
	expect("back", 200, `"back"`)(call(0, "POST", "/hof/return", fmt.Sprintf(`{"skip":%q,"number":%d}`, offer.Skip, offer.Number)))
	expect("the list", 200, `"site":"s1"`)(call(1, "GET", "/hof", ""))
	expect("the counts", 200, `"about_s_old"`)(call(1, "GET", "", ""))
}
