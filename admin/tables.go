package admin

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"basaltwall/api"
	"basaltwall/control"
	"basaltwall/tenant"
)

// present shows an answer of one of the forms below as a table, or as it came.
func present[T any](body []byte, asJSON bool, table func(w io.Writer, v T)) error {
	if asJSON {
		return show(body)
	}
	var v T
	if err := json.Unmarshal(body, &v); err != nil {
		return fmt.Errorf("answer not understood: %w", err)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	table(w, v)
	return w.Flush()
}

// row writes a line of a table.
func row(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, c)
	}
	fmt.Fprintln(w)
}

// more says how to ask for the next page.
func more(w io.Writer, after string) {
	if after != "" {
		fmt.Fprintf(w, "more with --after %s\n", after)
	}
}

// local is a time in the zone of the terminal, or nothing.
func local(at api.Wall) string {
	if at == 0 {
		return "-"
	}
	return time.UnixMilli(int64(at)).Format(time.DateTime)
}

// bound is a number of which 0 stands for none.
func bound(v float64) string {
	if v == 0 {
		return "none"
	}
	return fmt.Sprint(v)
}

func joined[T ~string](list []T) string { return strings.Join(plain(list), ",") }

func networks(n tenant.Networks, none string) string {
	if n.IsZero() {
		return none
	}
	return strings.Join(texts(n), ",")
}

func tenantsTable(w io.Writer, all []control.TenantAt) {
	row(w, "TENANT", "STATE", "TEAMS", "OPEN JOBS", "TASKS", "KEYS", "WHY")
	for _, t := range all {
		row(w, t.Name, t.State, joined(t.Teams), t.Jobs, t.Tasks, len(t.Keys), t.Why)
	}
}

func keyRows(w io.Writer, k control.KeyView, more ...any) {
	row(w, append([]any{k.Name, k.ID, local(k.Created), local(k.Expires), local(k.Used)}, more...)...)
}

func tenantTable(w io.Writer, t control.TenantAt) {
	row(w, "tenant", t.Name)
	row(w, "called", t.Display)
	row(w, "state", t.State, t.Why)
	row(w, "teams", joined(t.Teams))
	row(w, "rate", bound(t.Rate), "burst "+bound(t.Burst))
	row(w, "open jobs", t.Jobs, fmt.Sprintf("of %d", t.Bound()))
	row(w, "tasks", t.Tasks)
	row(w, "networks", networks(t.Networks, "anywhere"))
	row(w, "history kept", time.Duration(t.Retention*float64(time.Second)))
	row(w, "revision", t.Revision)
	row(w)
	row(w, "KEY", "ID", "MADE", "EXPIRES", "LAST USED")
	for _, k := range t.Keys {
		keyRows(w, k)
	}
}

func operatorsTable(w io.Writer, o control.OperatorsAt) {
	first := "opens everything"
	if o.Retired {
		first = "retired"
	}
	row(w, "first key", o.First, first)
	row(w, "networks", networks(o.Networks, "anywhere"))
	row(w, "proxies", networks(o.Proxies, "none"))
	row(w, "for teams", fmt.Sprintf("%v CPUs, %v given", o.CPUs, o.Given.CPUs), fmt.Sprintf("%v GPUs, %v given", o.GPUs, o.Given.GPUs))
	row(w, "revision", o.Revision)
	row(w)
	row(w, "KEY", "ID", "MADE", "EXPIRES", "LAST USED", "ROLE")
	for _, k := range o.Keys {
		keyRows(w, k.KeyView, k.Role)
	}
}

func auditTable(w io.Writer, v control.AuditView) {
	row(w, "AT", "KEY", "FROM", "WHAT", "ABOUT", "KEY CHANGED")
	for _, c := range v.Changes {
		row(w, local(c.At), c.Key, c.From, c.What, c.About, c.Sub)
	}
	more(w, v.After)
}

func historyTable(w io.Writer, v control.HistoryView) {
	row(w, "JOB", "STATE", "CLASS", "TEAM", "TASKS", "ACCEPTED", "ENDED")
	for _, j := range v.Jobs {
		row(w, j.Ref, j.State, j.Class, j.Team, j.Tasks, local(j.Accepted), local(j.Ended))
	}
	more(w, v.After)
}

func queueTable(w io.Writer, v control.QueueView) {
	row(w, "JOB", "STATE", "CLASS", "TEAM", "DONE", "RUNNING", "TASKS", "ACCEPTED", "WHY IT WAITS")
	for _, j := range v.Jobs {
		row(w, j.Ref, j.State, j.Class, j.Team, j.Done, j.Running, j.Tasks, local(j.Accepted), j.Why)
	}
	row(w, fmt.Sprintf("%d open", v.Open))
	more(w, v.After)
}

func usageTable(w io.Writer, v control.UsageView) {
	row(w, "open jobs", fmt.Sprintf("%d of %d", v.Open, v.OpenJobs))
	row(w, "waiting tasks", v.Waiting)
	row(w, "running tasks", v.Running)
	for _, name := range slices.Sorted(maps.Keys(v.Pools)) {
		row(w, "pool "+string(name), v.Pools[name])
	}
	if s := v.Submissions; s != nil {
		row(w, "at "+string(v.Controller), fmt.Sprintf("%d accepted", s.Accepted), fmt.Sprintf("refused %v", s.Refused))
	}
	row(w)
	row(w, "TEAM", "CPUS USED", "GUARANTEED", "LIMIT", "GPUS USED", "GUARANTEED", "LIMIT")
	for _, t := range v.Teams {
		row(w, t.Team, t.CPUs, t.CPUsGot, bound(t.CPUsMax), t.GPUs, t.GPUsGot, bound(t.GPUsMax))
	}
}

// Refused is an answer that is none of what was wanted.
type Refused struct {
	Path   string
	Status int // 0: no answer
	Why    string
	Wait   int // seconds, 0 if not said
}

func (r *Refused) Error() string {
	s := fmt.Sprintf("%s: %s", r.Path, r.Why)
	if r.Status != 0 {
		s = fmt.Sprintf("%s: %d: %s", r.Path, r.Status, r.Why)
	}
	if r.Wait > 0 {
		s += fmt.Sprintf(" (again in %d s)", r.Wait)
	}
	return s
}

// What the client's subcommands end with; 0 is done, and a command line that is not
// understood ends with what kong has for it.
const (
	exitRefused = 1
	exitLater   = 75 // EX_TEMPFAIL of sysexits.h: the same again, later, may do
)

// ExitCode tells programs whether it is worth asking again.
func (r *Refused) ExitCode() int {
	if r.Status == 0 || r.Status == 429 || r.Status == 503 {
		return exitLater
	}
	return exitRefused
}
