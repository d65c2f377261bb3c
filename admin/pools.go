package admin

// This file holds the subcommands for pools of counted resources.

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
	List   struct{}    `cmd:"" help:"List the pools with size, held units and waiting requests."`
	Show   poolNameCmd `cmd:"" help:"Show a pool with its share per partition and its holders."`
	Put    poolPutCmd  `cmd:"" help:"Create or change a pool. Omitted values stay unchanged."`
	Remove poolNameCmd `cmd:"" help:"Remove a pool without held units and waiting requests."`
}

type poolNameCmd struct {
	Name string `arg:"" help:"The pool's name."`
}

type poolPutCmd struct {
	Name      string         `arg:"" help:"The pool's name: a to z, 0 to 9 and -."`
	Size      *int           `help:"Number of units. If it is below the held units, no units are granted until enough are released."`
	Largest   *int           `help:"Maximum size: jobs that need more units at once are refused (default: the size)."`
	Unit      *string        `help:"Description of the counted unit."`
	Team      []string       `help:"A team that may use the pool; may be repeated. An empty value means no teams."`
	Tenant    []string       `help:"A tenant that may use the pool; may be repeated. Without teams and tenants, all may use it."`
	Guarantee map[string]int `placeholder:"TEAM=UNITS" help:"Units that a team's jobs get before other jobs of the same priority; may be repeated. Replaces all guarantees."`
	Frozen    *bool          `negatable:"" help:"Grant no more units."`
	Reclaim   *bool          `negatable:"" help:"Preempt holders if more units are held than the size, lowest priority and newest first."`
}

func poolPath(name string) string { return "pools/" + url.PathEscape(name) }

// pool runs a subcommand for pools.
func (c *OperatorCmd) pool(command string) error {
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

// putPool creates a pool, or changes the fields of an existing pool whose flags are set.
func (c *OperatorCmd) putPool(flags poolPutCmd) error {
	path := poolPath(flags.Name)
	current, err := fetch[pools.View](c, path)
	if err != nil && !isNotFound(err) {
		return err
	}
	frozen := current.State == pool.Frozen
	override(&current.Size, flags.Size)
	override(&current.MaxSize, flags.Largest)
	override(&current.Unit, flags.Unit)
	override(&frozen, flags.Frozen)
	override(&current.Reclaim, flags.Reclaim)
	guaranteed := flags.Guarantee
	if guaranteed == nil {
		guaranteed = map[string]int{}
		for team, units := range current.Guaranteed {
			guaranteed[string(team)] = units
		}
	}
	return c.send(api.MethodPut, path, poolRequest{
		Frozen:     frozen,
		Guaranteed: guaranteed,
		MaxSize:    max(current.MaxSize, current.Size),
		Reclaim:    current.Reclaim,
		revision:   revision{current.Revision},
		Size:       current.Size,
		Teams:      overrideList(flags.Team, toStrings(current.Teams)),
		Tenants:    overrideList(flags.Tenant, toStrings(current.Tenants)),
		Unit:       current.Unit,
	})
}

// isNotFound reports whether a request was refused with status 404.
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
		writeRow(w, p.Name, p.State, p.Size, sum(p.Held), p.PendingUnits, fmt.Sprintf("%.0f s", p.OldestWait), p.Unit)
	}
}

func poolTable(w io.Writer, p pools.View) {
	writeRow(w, "pool", p.Name, p.Unit)
	writeRow(w, "state", p.State)
	writeRow(w, "size", p.Size, fmt.Sprintf("largest %d", p.MaxSize))
	writeRow(w, "held", sum(p.Held))
	writeRow(w, "reclaims", p.Reclaim)
	writeRow(w, "waiting", p.PendingUnits, fmt.Sprintf("oldest wait %.0f s", p.OldestWait))
	writeRow(w, "teams", joinNames(p.Teams))
	writeRow(w, "tenants", joinNames(p.Tenants))
	for _, team := range slices.Sorted(maps.Keys(p.Guaranteed)) {
		writeRow(w, "guaranteed", team, p.Guaranteed[team])
	}
	writeRow(w, "revision", p.Revision)
	writeRow(w)
	writeRow(w, "PARTITION", "SHARE", "HELD", "FREE")
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
