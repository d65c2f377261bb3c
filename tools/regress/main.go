// Command regress runs a set of the users' deployments on the bench, compares their scores
// with the previous ones in the journal, and fails on a broken rule, a failed day, or a
// decrease beyond noise. docs/regression.md describes the sets.
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

// Names of the sets of deployments; full and scale combine or reuse the others.
const (
	setLanding = "landing"
	setState   = "state"
	setEarly   = "early"
	setOps     = "ops"
	setHunt    = "hunt"
	setFull    = "full"
	setScale   = "scale"
)

// sets are the deployment files of each set, relative to the folder of deployments.
var sets = map[string][]string{
	setLanding: {"next/kippermulde-grown.toml", "next/lopresti-mercato-grown.toml", "added/sortierwerk-erding.toml"},
	setState:   {"more/fleet/kippermulde-fleet.toml", "more/fleet/lopresti-mercato-fleet.toml"},
	setEarly:   {"sites/kippermulde.toml", "sites/lopresti-mercato.toml"},
	setOps:     {"more/kippermulde-ops.toml", "more/lopresti-mercato-ops.toml"},
	setHunt:    {"more/hunt/kippermulde-hunt.toml", "more/hunt/lopresti-mercato-hunt.toml"},
}

// scoreNoise is the largest difference between scores that may be random.
const scoreNoise = 0.03

// cli are the flags and arguments.
var cli struct {
	Bench   string  `required:"" type:"existingfile" help:"Path of the bench program."`
	Sites   string  `required:"" type:"existingdir" help:"Folder with the deployments."`
	Journal string  `default:"journal" type:"existingdir" help:"Folder of the bench's journal."`
	Why     string  `required:"" help:"Purpose of the run, in a sentence of less than 120 characters."`
	Jobs    int     `default:"6" help:"Number of days that run in parallel."`
	Hunt    int     `default:"0" help:"Number of random days on each deployment after the score."`
	Grow    float64 `help:"Run copies with machines and jobs multiplied by this factor instead. The set state also runs copies of the fleets with factor 1.5 unless this is 1."`
	Back    float64 `default:"0.2" help:"Restart delay of controllers in such copies, in seconds."`
	Own     string  `default:"tools/regress/days" type:"existingdir" help:"Folder of the project's own days for the set hunt, with a subfolder for each deployment."`
	Seeds   int     `default:"1" help:"Number of seeds for each of these days."`
	Set     string  `arg:"" enum:"landing,state,full,hunt,scale" help:"landing: for every change; state: for changes of storage, membership, timers or messages; full: all days of all deployments; hunt: random days and the project's own days, for broken rules; scale: days of copies of the hunt deployments at the target size, for broken rules."`
}

// problemsError is returned by a run with problems.
type problemsError []string

// Error lists the problems, one a line.
func (e problemsError) Error() string { return strings.Join(e, "\n") }

// regression is one run of a set.
type regression struct {
	files  []string        // deployments to run
	dir    string          // temporary folder for copies of deployments
	before []*journalEntry // entries before this run

	problems []string
}

// quick reports whether scores are estimates from a few days.
func (r *regression) quick() bool { return cli.Set != setFull }

// scored reports whether the set has scores.
func (r *regression) scored() bool { return cli.Set != setHunt && cli.Set != setScale }

// run runs the selected set and compares the results with the journal.
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
	// The journal has the results, so entries are checked even if the bench reports an error.
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

// selectFiles returns the deployment files of the selected set.
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

// play runs the set on the bench and returns the errors of the bench.
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

// newEntries returns the journal entries of days and scores of this run.
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

// check prints the scores beside the previous ones and records problems.
func (r *regression) check(entries []*journalEntry) {
	fileOf := map[string]string{}
	for _, f := range r.files {
		fileOf[deploymentName(f)] = f
	}
	seen := map[string]bool{} // deployments with a score
	var days []scoredDay
	fmt.Printf("\n%-26s %8s %8s %8s %8s  (simulated)\n", "deployment", "best", "before", "now", "change")
	for _, e := range entries {
		r.problems = append(r.problems, e.failures()...)
		if !e.isScore() {
			continue
		}
		seen[e.Site] = true
		for _, d := range e.Days {
			if f := fileOf[e.Site]; f != "" && !strings.HasPrefix(d.Name, randomDayPrefix) {
				days = append(days, scoredDay{f, d.Name})
			}
		}
		r.compareScore(e)
	}
	if !r.scored() {
		return
	}
	for _, f := range r.files {
		if name := deploymentName(f); !seen[name] {
			r.problems = append(r.problems, name+": no score in the journal")
		}
	}
	r.problems = append(r.problems, checkServed(days)...)
}

// compareScore prints a score beside the previous ones of its deployment. A decrease beyond noise is a
// problem.
func (r *regression) compareScore(e *journalEntry) {
	previous := lastScore(r.before, e.Site, r.quick())
	if previous == nil {
		fmt.Printf("%-26s %8s %8s %8.3f\n", e.Site, "-", "-", *e.Score)
		return
	}
	change := *e.Score - *previous.Score
	fmt.Printf("%-26s %8.3f %8.3f %8.3f %+8.3f  against %s\n", e.Site, bestScore(r.before, e.Site), *previous.Score, *e.Score, change, previous.ID)
	if change < -scoreNoise {
		r.problems = append(r.problems, fmt.Sprintf("%s: score decreased by %.3f: repeat the run, also with --no-cpu, then find the cause", e.Site, -change))
	}
}

// defaultGrowth is the factor of machines and jobs of the grown copies in the set state.
const defaultGrowth = 1.5

// grownCopies writes grown copies of deployments to dir and returns the files to run: the copies instead
// of the originals, or, in the set state, copies of the fleets in addition to them.
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
	ctx := kong.Parse(&cli, kong.Description("Runs a set of deployments on the bench and compares the results with the journal."))
	ctx.FatalIfErrorf(run())
}
