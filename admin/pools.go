package admin

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"

	"basaltwall/controller/pools"
	"basaltwall/pool"
)

type poolCmd struct {
	List   struct{}    `cmd:"" help:"List the pools: size, what is held, who waits."`
	Show   poolNameCmd `cmd:"" help:"Show a pool with its shares and holders."`
	Put    poolPutCmd  `cmd:"" help:"Make a pool, or change one; what is not named stays."`
	Remove poolNameCmd `cmd:"" help:"Remove a pool that nobody holds or waits for."`
}

type poolNameCmd struct {
	Name string `arg:"" help:"The pool's name."`
}

type poolPutCmd struct {
	Name      string         `arg:"" help:"The pool's name: a to z, 0 to 9 and -."`
	Size      *int           `help:"How many units there are. Below what is held, nothing more is handed out until so many have ended."`
	Largest   *int           `help:"How many there may ever be: jobs that ask for more at once are refused (by itself: the size)."`
	Unit      *string        `help:"What is counted, in words."`
	Team      []string       `help:"A team that may use it; may be repeated. An empty one stands for none."`
	Tenant    []string       `help:"A tenant that may use it; may be repeated. Without teams and tenants everybody may."`
	Guarantee map[string]int `placeholder:"TEAM=UNITS" help:"What a team's work may have before other work of the same priority; may be repeated. Replaces what there is."`
	Frozen    *bool          `negatable:"" help:"Hand out nothing more."`
	Reclaim   *bool          `negatable:"" help:"Let holders make way when more is held than there is, the least urgent and newest first."`
}

// pool runs a subcommand on pools.
func (c *Cmd) pool(command string) error {
	switch command {
	case "list":
		return printTable(c, "pools", poolsTable)
	case "show <name>":
		return printTable(c, "pools/"+url.PathEscape(c.Pool.Show.Name), poolTable)
	case "put <name>":
		return c.putPool(c.Pool.Put)
	case "remove <name>":
		return c.postWithRevision("pools/"+url.PathEscape(c.Pool.Remove.Name), "remove", map[string]any{})
	}
	return fmt.Errorf("pool %s: no such command", command)
}

func (c *Cmd) putPool(p poolPutCmd) error {
	path := "pools/" + url.PathEscape(p.Name)
	at, err := fetch[pools.View](c, path)
	var refused *RequestError
	if err != nil && !(errors.As(err, &refused) && refused.Status == 404) { // which is a new one
		return err
	}
	frozen := at.State == pool.Frozen
	override(&at.Size, p.Size)
	override(&at.Largest, p.Largest)
	override(&at.Unit, p.Unit)
	override(&frozen, p.Frozen)
	override(&at.Reclaim, p.Reclaim)
	guaranteed := map[string]int{}
	for team, units := range at.Guaranteed {
		guaranteed[string(team)] = units
	}
	if p.Guarantee != nil {
		guaranteed = p.Guarantee
	}
	return c.send("PUT", path, map[string]any{"guaranteed": guaranteed, "revision": at.Revision, "size": at.Size, "largest": max(at.Largest, at.Size), "unit": at.Unit,
		"teams": overrideList(p.Team, toStrings(at.Teams)), "tenants": overrideList(p.Tenant, toStrings(at.Tenants)), "frozen": frozen, "reclaim": at.Reclaim})
}

func sum(list []int) int {
	s := 0
	for _, v := range list {
		s += v
	}
	return s
}

func poolsTable(w io.Writer, all []pools.View) {
	writeRow(w, "POOL", "STATE", "SIZE", "HELD", "WAITING", "OLDEST WAIT", "UNIT")
	for _, p := range all {
		writeRow(w, p.Name, p.State, p.Size, sum(p.Held), p.WaitingUnits, fmt.Sprintf("%.0f s", p.OldestWait), p.Unit)
	}
}

func poolTable(w io.Writer, p pools.View) {
	writeRow(w, "pool", p.Name, p.Unit)
	writeRow(w, "state", p.State)
	writeRow(w, "size", p.Size, fmt.Sprintf("largest %d", p.Largest))
	writeRow(w, "held", sum(p.Held))
	writeRow(w, "reclaims", p.Reclaim)
	writeRow(w, "waiting", p.WaitingUnits, fmt.Sprintf("the oldest for %.0f s", p.OldestWait))
	writeRow(w, "teams", joinNames(p.Teams))
	writeRow(w, "tenants", joinNames(p.Tenants))
	for _, team := range slices.Sorted(maps.Keys(p.Guaranteed)) {
		writeRow(w, "guaranteed", team, p.Guaranteed[team])
	}
	writeRow(w, "revision", p.Revision)
	writeRow(w)
	writeRow(w, "PART", "SHARE", "HELD", "FREE")
	for q := range p.Shares {
		writeRow(w, q, p.Shares[q], p.Held[q], p.Free[q])
	}
	writeRow(w)
	writeRow(w, "HOLDER", "TENANT", "TEAM", "UNITS", "TASKS")
	for _, h := range p.Holders {
		if h.Ref == "" {
			h.Ref = h.Job
		}
		writeRow(w, h.Ref, h.Tenant, h.Team, h.Units, h.Tasks)
	}
}
