// The ordering of workloads that follows from the rules.

package priority

import (
	"cmp"
	"maps"
	"slices"

	"basaltwall/api"
)

// Workload is the attributes of jobs that rules depend on. Jobs with equal attributes are ordered
// alike.
type Workload struct {
	Class         api.Class
	Team          api.Team
	Form          api.Kind
	Priority      api.Priority
	CapacityShort bool // no machine type that they may use has free capacity
}

// ActiveConditions are the conditions of the whole cluster that hold now.
type ActiveConditions struct {
	ControllerDown bool
	ZoneFailed     bool
}

// Ordering is the order of workloads by level: the higher goes first.
type Ordering struct {
	levels      map[Workload]float64
	outrankedBy map[Workload]string // the rule by which another workload goes before it
	floors      map[Workload]float64
}

// Resolve orders workloads. Without a rule that applies, the level of a workload is the rank of its
// priority. Otherwise it is its position among all levels, so that one is as far from the next as
// one priority from the next.
func (t Rules) Resolve(workloads []Workload, c ActiveConditions) Ordering {
	r := resolver{rules: t, workloads: workloads, conditions: c,
		ordering: Ordering{levels: map[Workload]float64{}, outrankedBy: map[Workload]string{}, floors: map[Workload]float64{}}}
	for _, k := range workloads {
		r.level(k, 0)
	}
	o := r.ordering
	if !r.boosted {
		return o
	}
	distinct := slices.Compact(slices.Sorted(maps.Values(o.levels)))
	for k, l := range o.levels {
		i, _ := slices.BinarySearch(distinct, l)
		o.levels[k] = float64(i)
	}
	return o
}

// resolver computes an ordering.
type resolver struct {
	rules      Rules
	workloads  []Workload
	conditions ActiveConditions
	ordering   Ordering
	boosted    bool // some level differs from the rank of its priority
}

// beforeStep is how far a rule raises a workload above another: too small for all rules together
// to reach the next priority.
const beforeStep = 1.0 / (2 * maxRules)

// level computes the level of a workload, and first those of the workloads that rules put it before.
func (r *resolver) level(k Workload, depth int) float64 {
	if l, known := r.ordering.levels[k]; known {
		return l
	}
	l := float64(k.Priority.Rank())
	for i := range r.rules {
		rule := &r.rules[i]
		if !rule.Selector.selects(&k) || !rule.applies(&k, r.conditions) || depth > maxRules {
			continue
		}
		if rule.Rank == "" {
			l = r.raiseAboveBefore(rule, l, depth)
			continue
		}
		if to := float64(slices.Index(priorities, rule.Rank)); to != l {
			l, r.boosted = max(l, to), true
		}
	}
	r.ordering.levels[k] = l
	return l
}

// raiseAboveBefore is a level as raised above those of all workloads that the rule goes before.
func (r *resolver) raiseAboveBefore(rule *Rule, l float64, depth int) float64 {
	for _, other := range r.workloads {
		if !rule.Before.selects(&other) {
			continue
		}
		if to := r.level(other, depth+1) + beforeStep; to > l {
			l, r.boosted = to, true
		}
		if r.ordering.outrankedBy[other] == "" {
			r.ordering.outrankedBy[other] = rule.Name
		}
		if rule.Floor != nil {
			r.ordering.floors[other] = max(r.ordering.floors[other], *rule.Floor)
		}
	}
	return l
}

// Level is the level of a workload; the rank of its priority if it was not among those resolved.
func (o Ordering) Level(k Workload) float64 {
	if l, known := o.levels[k]; known {
		return l
	}
	return float64(k.Priority.Rank())
}

// OutrankedBy names the rule by which other work goes before a workload, empty if none does.
func (o Ordering) OutrankedBy(k Workload) string { return o.outrankedBy[k] }

// Floor is the share of its fair share that a rule leaves to a workload which others go before; ok is
// false if no rule says.
func (o Ordering) Floor(k Workload) (share float64, ok bool) {
	share, ok = o.floors[k]
	return share, ok
}

// Compare orders workloads so that the one that goes first is first.
func (o Ordering) Compare(a, b Workload) int { return cmp.Compare(o.Level(b), o.Level(a)) }
