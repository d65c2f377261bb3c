// Command regress runs a set of the users' deployments on the bench, shows each one's
// figure beside the last of its kind in the journal, and fails on a broken rule, a day
// that failed, or a fall beyond noise. docs/regression.md says which set is for what.
package main

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
)

// Names of the sets; full and scale are made of the others.
const (
	setLanding = "landing"
	setState   = "state"
	setEarly   = "early"
	setOps     = "ops"
	setHunt    = "hunt"
	setFull    = "full"
	setScale   = "scale"
)

// sets are the deployments by what a change touches, as files below the sites' folder.
var sets = map[string][]string{
	setLanding: {"next/kippermulde-grown.toml", "next/lopresti-mercato-grown.toml", "added/sortierwerk-erding.toml"},
	setState:   {"more/fleet/kippermulde-fleet.toml", "more/fleet/lopresti-mercato-fleet.toml"},
	setEarly:   {"sites/kippermulde.toml", "sites/lopresti-mercato.toml"},
	setOps:     {"more/kippermulde-ops.toml", "more/lopresti-mercato-ops.toml"},
	setHunt:    {"more/hunt/kippermulde-hunt.toml", "more/hunt/lopresti-mercato-hunt.toml"},
}

// scoreNoise is by how much a deployment's figure may differ with nothing changed.
const scoreNoise = 0.03

// cli are the flags and arguments.
var cli struct {
	Bench   string  `required:"" type:"existingfile" help:"The bench's program."`
	Sites   string  `required:"" type:"existingdir" help:"The folder with the deployments."`
	Journal string  `default:"journal" type:"existingdir" help:"Where the bench writes its entries."`
	Why     string  `required:"" help:"What the run is for, in a sentence under 120 characters."`
	Jobs    int     `default:"6" help:"Days at once."`
	Hunt    int     `default:"0" help:"Days to draw on each deployment after the score."`
	Grow    float64 `help:"Play copies with so many times the machines and the work instead. The set state plays the fleets' copies with 1.5 beside them unless this is 1."`
	Back    float64 `default:"0.2" help:"Seconds until a process of such a copy is back."`
	Own     string  `default:"tools/regress/days" type:"existingdir" help:"Days of the project's own, which the set hunt plays: a folder for each deployment."`
	Seeds   int     `default:"1" help:"Seeds with which the set hunt plays each of these days."`
	Set     string  `arg:"" enum:"landing,state,full,hunt,scale" help:"scale: days of copies of the hunt sites at the size to come, for their rules; landing: every change; state: also what touches storage, membership, timers or messages; full: all days of all deployments; hunt: days drawn and days of the project's own, for broken rules."`
}

// problemsError is returned by a run that found something wrong.
type problemsError []string

// Error lists the problems, one a line.
func (e problemsError) Error() string { return strings.Join(e, "\n") }

// regression is a run of a set.
type regression struct {
	files  []string        // the deployments that are played
	dir    string          // for copies of deployments
	before []*journalEntry // entries that were there before

	problems []string
}

// quick tells whether scores estimate all days from a few.
func (r *regression) quick() bool { return cli.Set != setFull }

// scored tells whether the set's deployments are scored.
func (r *regression) scored() bool { return cli.Set != setHunt && cli.Set != setScale }

// run plays the chosen set and compares it with the journal.
func run() error {
	dir, err := os.MkdirTemp("", "grown")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &regression{dir: dir}
	if r.files, err = grownCopies(selectFiles(), dir); err != nil {
		return err
	}
	if r.before, err = readJournal(cli.Journal); err != nil {
		return err
	}
	// What the bench makes of a score is in the journal, so its exit code alone is not the verdict.
	failed := r.play()
	entries, err := r.newEntries()
	if err != nil {
		return err
	}
	r.check(entries)
	if len(r.problems) > 0 {
		return problemsError(r.problems)
	}
	return failed
}

// selectFiles are the files of the chosen set's deployments.
func selectFiles() []string {
	files := slices.Clone(sets[setLanding])
	switch cli.Set {
	case setHunt, setScale:
		files = slices.Clone(sets[setHunt])
	case setState:
		files = slices.Concat(files, sets[setState], sets[setHunt])
	case setFull:
		files = slices.Concat(files, sets[setState], sets[setHunt], sets[setEarly], sets[setOps])
	}
	for i, f := range files {
		files[i] = filepath.Join(cli.Sites, f)
	}
	return files
}

// play has the bench play the set. It returns with which errors the bench ended.
func (r *regression) play() error {
	var failed error
	huntDays := cli.Hunt
	if r.scored() {
		args := append([]string{"score"}, r.files...)
		if r.quick() {
			args = append(args, "--quick")
		}
		failed = runBench(os.Stdout, os.Stderr, append(args, "--jobs", fmt.Sprint(cli.Jobs), "--why", cli.Why)...)
	} else if cli.Set == setHunt {
		huntDays = cmp.Or(huntDays, defaultHuntDays)
	}
	if huntDays > 0 {
		for _, f := range r.files {
			err := runBench(os.Stdout, os.Stderr, "hunt", f, "--days", fmt.Sprint(huntDays), "--jobs", fmt.Sprint(cli.Jobs), "--why", cli.Why)
			failed = errors.Join(failed, err)
		}
	}
	switch cli.Set {
	case setHunt:
		r.problems = runProjectDays(r.files)
	case setScale:
		r.problems = runScaleDays(r.files, r.dir)
	}
	return failed
}

// newEntries are the entries of days and scores that the journal did not have before.
func (r *regression) newEntries() ([]*journalEntry, error) {
	known := map[string]bool{}
	for _, e := range r.before {
		known[e.ID] = true
	}
	entries, err := readJournal(cli.Journal)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(entries, func(e *journalEntry) bool {
		return known[e.ID] || !slices.Contains([]string{cmdScore, cmdHunt, cmdRun}, e.Cmd)
	}), nil
}

// check prints the scores beside the former ones and notes what is wrong.
func (r *regression) check(entries []*journalEntry) {
	fileOf := map[string]string{}
	for _, f := range r.files {
		fileOf[deploymentName(f)] = f
	}
	seen := map[string]bool{} // deployments with a score
	var days []playedDay
	fmt.Printf("\n%-26s %8s %8s %8s %8s  (simulated)\n", "deployment", "best", "before", "now", "change")
	for _, e := range entries {
		r.problems = append(r.problems, e.failures()...)
		if !e.isScore() {
			continue
		}
		seen[e.Site] = true
		for _, d := range e.Days {
			if f := fileOf[e.Site]; f != "" && !strings.HasPrefix(d.Name, drawnDayPrefix) {
				days = append(days, playedDay{f, d.Name})
			}
		}
		r.compareScore(e)
	}
	if !r.scored() {
		return
	}
	for _, f := range r.files {
		if name := deploymentName(f); !seen[name] {
			r.problems = append(r.problems, name+": no score was written")
		}
	}
	r.problems = append(r.problems, checkServed(days)...)
}

// compareScore prints a score beside the former ones of its deployment; a fall beyond noise is a problem.
func (r *regression) compareScore(e *journalEntry) {
	previous := lastScore(r.before, e.Site, r.quick())
	if previous == nil {
		fmt.Printf("%-26s %8s %8s %8.3f\n", e.Site, "-", "-", *e.Score)
		return
	}
	change := *e.Score - *previous.Score
	fmt.Printf("%-26s %8.3f %8.3f %8.3f %+8.3f  against %s\n", e.Site, bestScore(r.before, e.Site), *previous.Score, *e.Score, change, previous.ID)
	if change < -scoreNoise {
		r.problems = append(r.problems, fmt.Sprintf("%s fell by %.3f: repeat it, or with --no-cpu, then trace it", e.Site, -change))
	}
}

// defaultGrowth is how many times the machines the copies of the fleets have in the set state.
const defaultGrowth = 1.5

// grownCopies writes grown copies of deployments into a folder and returns what is to be played: the
// copies instead of the deployments, or beside them where only the fleets have copies.
func grownCopies(files []string, dir string) ([]string, error) {
	factor, originals := cli.Grow, files
	switch {
	case factor == 1 || factor == 0 && cli.Set != setState:
		return files, nil
	case factor == 0:
		factor, originals = defaultGrowth, files[len(sets[setLanding]):][:len(sets[setState])]
	default:
		files = nil
	}
	out := slices.Clone(files)
	for _, f := range originals {
		grown, err := growDeployment(f, dir, factor, cli.Back)
		if err != nil {
			return nil, err
		}
		out = append(out, grown)
	}
	return out, nil
}

func main() {
	ctx := kong.Parse(&cli, kong.Description("Runs a set of deployments on the bench and compares it with the journal."))
	ctx.FatalIfErrorf(run())
}
