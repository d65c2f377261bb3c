package admin

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"

	"basaltwall/control"
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
func (c *Cmd) pool(chosen string) error {
	switch chosen {
	case "list":
		return ofPath(c, "pools", poolsTable)
	case "show <name>":
		return ofPath(c, "pools/"+url.PathEscape(c.Pool.Show.Name), poolTable)
	case "put <name>":
		return c.putPool(c.Pool.Put)
	case "remove <name>":
		return c.act("pools/"+url.PathEscape(c.Pool.Remove.Name), "remove", map[string]any{})
	}
	return fmt.Errorf("pool %s: no such command", chosen)
}

func (c *Cmd) putPool(p poolPutCmd) error {
	path := "pools/" + url.PathEscape(p.Name)
	at, err := read[control.PoolView](c, path)
	var refused *Refused
	if err != nil && !(errors.As(err, &refused) && refused.Status == 404) { // which is a new one
		return err
	}
	frozen := at.State == pool.Frozen
	set(&at.Size, p.Size)
	set(&at.Largest, p.Largest)
	set(&at.Unit, p.Unit)
	set(&frozen, p.Frozen)
	set(&at.Reclaim, p.Reclaim)
	guaranteed := map[string]int{}
	for team, units := range at.Guaranteed {
		guaranteed[string(team)] = units
	}
	if p.Guarantee != nil {
		guaranteed = p.Guarantee
	}
	return c.send("PUT", path, map[string]any{"guaranteed": guaranteed, "revision": at.Revision, "size": at.Size, "largest": max(at.Largest, at.Size), "unit": at.Unit,
		"teams": named(p.Team, plain(at.Teams)), "tenants": named(p.Tenant, plain(at.Tenants)), "frozen": frozen, "reclaim": at.Reclaim})
}

func sum(list []int) int {
	s := 0
	for _, v := range list {
		s += v
	}
	return s
}

func poolsTable(w io.Writer, all []control.PoolView) {
	row(w, "POOL", "STATE", "SIZE", "HELD", "WAITING", "OLDEST WAIT", "UNIT")
	for _, p := range all {
		row(w, p.Name, p.State, p.Size, sum(p.Held), p.Waiting, fmt.Sprintf("%.0f s", p.Oldest), p.Unit)
	}
}

func poolTable(w io.Writer, p control.PoolView) {
	row(w, "pool", p.Name, p.Unit)
	row(w, "state", p.State)
	row(w, "size", p.Size, fmt.Sprintf("largest %d", p.Largest))
	row(w, "held", sum(p.Held))
	row(w, "reclaims", p.Reclaim)
	row(w, "waiting", p.Waiting, fmt.Sprintf("the oldest for %.0f s", p.Oldest))
	row(w, "teams", joined(p.Teams))
	row(w, "tenants", joined(p.Tenants))
	for _, team := range slices.Sorted(maps.Keys(p.Guaranteed)) {
		row(w, "guaranteed", team, p.Guaranteed[team])
	}
	row(w, "revision", p.Revision)
	row(w)
	row(w, "PART", "SHARE", "HELD", "FREE")
	for q := range p.Shares {
		row(w, q, p.Shares[q], p.Held[q], p.Free[q])
	}
	row(w)
	row(w, "HOLDER", "TENANT", "TEAM", "UNITS", "TASKS")
	for _, h := range p.Holders {
		if h.Ref == "" {
			h.Ref = h.Job
		}
		row(w, h.Ref, h.Tenant, h.Team, h.Units, h.Tasks)
	}
}
