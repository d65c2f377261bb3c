package admin

// This file holds the subcommands on pools of counted resources.

import (
	"basaltwall/api"

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

// poolPath returns the path of a pool.
func poolPath(name string) string { return "pools/" + url.PathEscape(name) }

// pool runs a subcommand on pools.
func (c *Cmd) pool(command string) error {
	switch command {
	case "list":
		return printTable(c, "pools", poolsTable)
	case "show <name>":
		return printTable(c, poolPath(c.Pool.Show.Name), poolTable)
	case "put <name>":
		return c.putPool(c.Pool.Put)
	case "remove <name>":
		return c.sendWithRevision(poolPath(c.Pool.Remove.Name), "remove", &revision{})
	}
	return fmt.Errorf("pool %s: %w", command, errUnknownCommand)
}

// putPool makes a pool, or changes what is named of the one that exists.
func (c *Cmd) putPool(named poolPutCmd) error {
	path := poolPath(named.Name)
	current, err := fetch[pools.View](c, path)
	if err != nil && !isNotFound(err) {
		return err
	}
	frozen := current.State == pool.Frozen
	override(&current.Size, named.Size)
	override(&current.Largest, named.Largest)
	override(&current.Unit, named.Unit)
	override(&frozen, named.Frozen)
	override(&current.Reclaim, named.Reclaim)
	guaranteed := named.Guarantee
	if guaranteed == nil {
		guaranteed = map[string]int{}
		for team, units := range current.Guaranteed {
			guaranteed[string(team)] = units
		}
	}
	return c.send(api.MethodPut, path, poolRequest{
		Frozen:     frozen,
		Guaranteed: guaranteed,
		Largest:    max(current.Largest, current.Size),
		Reclaim:    current.Reclaim,
		revision:   revision{current.Revision},
		Size:       current.Size,
		Teams:      overrideList(named.Team, toStrings(current.Teams)),
		Tenants:    overrideList(named.Tenant, toStrings(current.Tenants)),
		Unit:       current.Unit,
	})
}

// isNotFound reports whether a request was refused because nothing lies at its path.
func isNotFound(err error) bool {
	var refused *RequestError
	return errors.As(err, &refused) && refused.Status == api.StatusNotFound
}

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
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
	for partition := range p.Shares {
		writeRow(w, partition, p.Shares[partition], p.Held[partition], p.Free[partition])
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
