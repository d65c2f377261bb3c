// This file computes the order of workloads from the rules.

package priority

import (
	"cmp"
	"maps"
	"slices"

	"basaltwall/api"
)

// Workload holds the attributes of jobs that rules depend on. Jobs with equal attributes have the same
// level.
type Workload struct {
	Class         api.Class
	Team          api.Team
	Form          api.Kind
	Priority      api.Priority
	CapacityShort bool // no machine type that the jobs may use has free capacity
}

// ActiveConditions are the cluster-wide conditions that hold at present.
type ActiveConditions struct {
	ControllerDown bool
	ZoneFailed     bool
}

// Ordering is the order of workloads by level, the highest first.
type Ordering struct {
	levels      map[Workload]float64
	outrankedBy map[Workload]string // the rule by which another workload takes precedence
	floors      map[Workload]float64
}

// Resolve computes the order of workloads. If no rule raises a workload, each level is the rank of the
// workload's priority. Otherwise it is the workload's position among the distinct levels, so that
// adjacent levels differ by as much as adjacent priorities.
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
	boosted    bool // some level differs from the rank of the workload's priority
}

// beforeStep is the difference by which a rule raises a workload above another. All rules together add
// up to less than the difference of two priorities.
const beforeStep = 1.0 / (2 * maxRules)

// level computes the level of a workload, after the levels of the workloads that it takes precedence
// over by rules.
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

// raiseAboveBefore returns a level raised above the levels of all workloads that rule.Before selects.
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

// Level returns the level of a workload. For a workload that was not passed to Resolve it is the rank
// of its priority.
func (o Ordering) Level(k Workload) float64 {
	if l, known := o.levels[k]; known {
		return l
	}
	return float64(k.Priority.Rank())
}

// OutrankedBy returns the name of a rule by which other workloads take precedence over a workload, or "".
func (o Ordering) OutrankedBy(k Workload) string { return o.outrankedBy[k] }

// Floor returns the fraction of its fair share that rules guarantee to an outranked workload; ok is
// false if no rule sets one.
func (o Ordering) Floor(k Workload) (share float64, ok bool) {
	share, ok = o.floors[k]
	return share, ok
}

// Compare orders workloads by level, the highest first.
func (o Ordering) Compare(a, b Workload) int { return cmp.Compare(o.Level(b), o.Level(a)) }
