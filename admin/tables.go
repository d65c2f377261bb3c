package admin

// This file prints responses as JSON or as tables.

import (
	"bytes"
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
	"basaltwall/controller/tenancy"
	"basaltwall/internal/exactjson"
	"basaltwall/tenant"
)

// printJSON prints a response as indented JSON, or unchanged if it is not JSON.
func printJSON(body []byte) error {
	var out bytes.Buffer
	if json.Indent(&out, body, "", "  ") != nil {
		out.Write(body)
	}
	fmt.Println(out.String())
	return nil
}

// printResponse prints a response as a table, or as JSON.
func printResponse[T any](body []byte, asJSON bool, table func(w io.Writer, v T)) error {
	if asJSON {
		return printJSON(body)
	}
	var v T
	if err := exactjson.Decode(body, &v); err != nil {
		return fmt.Errorf("decoding response: %w", err)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	table(w, v)
	return w.Flush()
}

// writeRow writes a row of a table; cells are separated by tabs.
func writeRow(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, c)
	}
	_, _ = fmt.Fprintln(w)
}

// writeNextPageHint writes the --after flag that selects the next page, if there is one.
func writeNextPageHint(w io.Writer, after string) {
	if after != "" {
		_, _ = fmt.Fprintf(w, "next page: --after %s\n", after)
	}
}

// formatTime formats a time in the local time zone; 0 means no time.
func formatTime(at api.WallTime) string {
	if at == 0 {
		return "-"
	}
	return time.UnixMilli(int64(at)).Format(time.DateTime)
}

// formatLimit formats a limit; 0 means no limit.
func formatLimit(v float64) string {
	if v == 0 {
		return "none"
	}
	return fmt.Sprint(v)
}

func joinNames[T ~string](list []T) string { return strings.Join(toStrings(list), ",") }

func formatNetworks(n tenant.Networks, none string) string {
	if n.IsZero() {
		return none
	}
	return strings.Join(prefixStrings(n), ",")
}

func tenantsTable(w io.Writer, all []tenancy.TenantView) {
	writeRow(w, "TENANT", "STATE", "TEAMS", "OPEN JOBS", "TASKS", "KEYS", "SUSPEND REASON")
	for _, t := range all {
		writeRow(w, t.Name, t.State, joinNames(t.Teams), t.Jobs, t.Tasks, len(t.Keys), t.SuspendReason)
	}
}

func keyRows(w io.Writer, k tenancy.KeyView, extra ...any) {
	writeRow(w, append([]any{k.Name, k.ID, formatTime(k.Created), formatTime(k.Expires), formatTime(k.LastUsed)}, extra...)...)
}

func tenantTable(w io.Writer, t tenancy.TenantView) {
	writeRow(w, "tenant", t.Name)
	writeRow(w, "display name", t.DisplayName)
	writeRow(w, "state", t.State, t.SuspendReason)
	writeRow(w, "teams", joinNames(t.Teams))
	writeRow(w, "rate", formatLimit(t.Rate), "burst "+formatLimit(t.Burst))
	writeRow(w, "open jobs", t.Jobs, fmt.Sprintf("of %d", t.OpenJobLimit()))
	writeRow(w, "tasks", t.Tasks)
	writeRow(w, "networks", formatNetworks(t.Networks, "anywhere"))
	writeRow(w, "history retention", time.Duration(t.RetentionSeconds*float64(time.Second)))
	writeRow(w, "revision", t.Revision)
	writeRow(w)
	writeRow(w, "KEY", "ID", "CREATED", "EXPIRES", "LAST USED")
	for _, k := range t.Keys {
		keyRows(w, k)
	}
}

func operatorsTable(w io.Writer, o tenancy.OperatorsView) {
	first := "full access"
	if o.AdminKeyRevoked {
		first = "retired"
	}
	writeRow(w, "first key", o.AdminKey, first)
	writeRow(w, "networks", formatNetworks(o.Networks, "anywhere"))
	writeRow(w, "proxies", formatNetworks(o.Proxies, "none"))
	writeRow(w, "reserved for teams", fmt.Sprintf("%v CPUs, %v guaranteed", o.TeamCPUBudget, o.Guaranteed.CPUs), fmt.Sprintf("%v GPUs, %v guaranteed", o.TeamGPUBudget, o.Guaranteed.GPUs))
	writeRow(w, "revision", o.Revision)
	writeRow(w)
	writeRow(w, "KEY", "ID", "CREATED", "EXPIRES", "LAST USED", "ROLE")
	for _, k := range o.Keys {
		keyRows(w, k.KeyView, k.Role)
	}
}

func auditTable(w io.Writer, v tenancy.AuditView) {
	writeRow(w, "TIME", "KEY", "CLIENT", "ACTION", "SUBJECT", "CHANGED KEY")
	for _, c := range v.Entries {
		writeRow(w, formatTime(c.Time), c.Key, c.From, c.Action, c.Subject, c.KeyName)
	}
	writeNextPageHint(w, v.After)
}

func historyTable(w io.Writer, v tenancy.HistoryView) {
	writeRow(w, "JOB", "STATE", "CLASS", "TEAM", "TASKS", "ACCEPTED", "ENDED")
	for _, j := range v.Jobs {
		writeRow(w, j.JobID, j.State, j.Class, j.Team, j.Tasks, formatTime(j.AcceptedAt), formatTime(j.EndedAt))
	}
	writeNextPageHint(w, v.After)
}

func queueTable(w io.Writer, v tenancy.QueueView) {
	writeRow(w, "JOB", "STATE", "CLASS", "TEAM", "DONE", "RUNNING", "TASKS", "ACCEPTED", "PENDING REASON")
	for _, j := range v.Jobs {
		writeRow(w, j.Ref, j.State, j.Class, j.Team, j.Done, j.Running, j.Tasks, formatTime(j.Accepted), j.Reason)
	}
	writeRow(w, fmt.Sprintf("%d open jobs", v.Open))
	writeNextPageHint(w, v.After)
}

func usageTable(w io.Writer, v tenancy.UsageView) {
	writeRow(w, "open jobs", fmt.Sprintf("%d of %d", v.Open, v.OpenJobs))
	writeRow(w, "pending tasks", v.PendingTasks)
	writeRow(w, "running tasks", v.RunningTasks)
	for _, name := range slices.Sorted(maps.Keys(v.Pools)) {
		writeRow(w, "pool "+string(name), v.Pools[name])
	}
	if s := v.Submissions; s != nil {
		writeRow(w, "submissions at "+string(v.Controller), fmt.Sprintf("%d accepted", s.Accepted), fmt.Sprintf("refused %v", s.Rejected))
	}
	writeRow(w)
	writeRow(w, "TEAM", "CPUS USED", "GUARANTEED", "LIMIT", "GPUS USED", "GUARANTEED", "LIMIT")
	for _, t := range v.Teams {
		writeRow(w, t.Team, t.UsedCPUs, t.GuaranteedCPUs, formatLimit(t.MaxCPUs), t.UsedGPUs, t.GuaranteedGPUs, formatLimit(t.MaxGPUs))
	}
}
