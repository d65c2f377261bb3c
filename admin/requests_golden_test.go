package admin

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"basaltwall/internal/golden"
)

// recordRequests starts a server that returns sample resources, and returns its address and the recorded
// requests with their bodies.
func recordRequests(t *testing.T) (addr string, received *[]string) {
	t.Helper()
	received = &[]string{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		*received = append(*received, fmt.Sprintf("%s %s %s", r.Method, r.URL.RequestURI(), body))
		answer := `{"revision":7,"rate":2,"burst":4,"teams":["dispo"],"networks":["10.0.0.0/8"],"retention_s":60}`
		switch {
		case r.Method == http.MethodGet && r.URL.Path == Prefix+"teams":
			answer = `[{"team":"dispo","revision":7}]`
		case r.Method == http.MethodGet && r.URL.Path == Prefix+"pools/routing":
			answer = `{"revision":8,"size":3,"largest":4,"unit":"licences","state":"frozen","teams":["dispo"],"guaranteed":{"dispo":1,"a<b":2}}`
		case r.Method == http.MethodGet && r.URL.Path == Prefix+"pools/fresh":
			w.WriteHeader(http.StatusNotFound)
			answer = `{"error":"no such pool"}`
		}
		_, _ = io.WriteString(w, answer)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), received
}

// TestGoldenRequests checks that subcommands that make changes send the same bytes as earlier versions.
func TestGoldenRequests(t *testing.T) {
	f := golden.Open(t)
	addr, received := recordRequests(t)
	key := writeKeyFile(t)
	skips := filepath.Join(t.TempDir(), "skips.csv")
	var lines strings.Builder
	for i := range importPageSize + 2 {
		fmt.Fprintf(&lines, "hof-nord,six-%d,six\n", i)
	}
	lines.WriteString("hof süd,ten-1,ten\n")
	if err := os.WriteFile(skips, []byte(lines.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	settings := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(settings, []byte("{\"revision\": 3}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, line string }{
		{"tenant add", "tenant add kipper --display <K> --team dispo --team red --rate 2 --burst 4 --network 10.0.0.0/8 --network 192.0.2.1"},
		{"tenant add with defaults", "tenant add kipper"},
		{"tenant change", "tenant change kipper --open-jobs 5 --retention 90s"},
		{"tenant change to nothing", "tenant change kipper --team= --network="},
		{"tenant suspend", "tenant suspend kipper --why un&paid --drain 90s"},
		{"tenant resume", "tenant resume kipper"},
		{"tenant remove", "tenant remove kipper"},
		{"tenant remove and cancel", "tenant remove kipper --cancel"},
		{"tenant key add", "tenant key add kipper laptop"},
		{"tenant key revoke", "tenant key revoke kipper laptop"},
		{"operators change", "operators change --cpus 4.5 --network= --proxy 10.0.0.0/8"},
		{"operators key add", "operators key add watch --role read"},
		{"operators key revoke", "operators key revoke watch"},
		{"team put", "team put dispo --cpus 3 --cpus-max 4 --gpus 0.5"},
		{"team put a new one", "team put fuhrpark --cpus 3"},
		{"team remove", "team remove dispo"},
		{"pool put", "pool put routing --size 5 --team dispo --team red --tenant kipper --no-frozen --reclaim"},
		{"pool put a new one", "pool put fresh --size 5 --guarantee red=2 --guarantee blue=1"},
		{"pool remove", "pool remove routing"},
		{"offer a kind", "skips offer hof-nord --name a --kind six --from 2026-12-01 --to 2026-12-05 --for 90s"},
		{"offer a skip", "skips offer hof-nord --name a --skip six-1"},
		{"promise a kind", "skips promise hof-nord --name a --site s<1> --kind six --from 2026-12-01 --to 2026-12-05"},
		{"promise an offer", "skips promise hof-nord --name a --site s1 --skip six-1 --number 18446744073709551615"},
		{"release", "skips release hof-nord six-1 3"},
		{"deliver", "skips deliver hof-nord six-1 3"},
		{"return", "skips return hof-nord six-1 3"},
		{"out", "skips out hof-nord six-1"},
		{"in", "skips in hof-nord six-1"},
		{"import", "skips import " + skips},
		{"drain", "drain i-1"},
		{"undrain", "undrain i-1"},
		{"set", "set " + settings},
	} {
		*received = nil
		words := append([]string{"admin", "--addr", addr, "--key-file", key}, strings.Fields(c.line)...)
		if err := runCommand(t, words...); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		f.Text(c.name, strings.Join(*received, "\n"))
	}
}
