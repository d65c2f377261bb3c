// Command regress runs a set of the users' deployments on the bench, shows each one's
// figure beside the last of its kind in the journal, and fails on a broken rule, a day
// that failed, or a fall beyond noise. docs/regression.md says which set is for what.
package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/alecthomas/kong"
)

// sets are the deployments by what a change touches, as files below the sites' folder.
var sets = map[string][]string{
	"landing": {"next/kippermulde-grown.toml", "next/lopresti-mercato-grown.toml", "added/sortierwerk-erding.toml"},
	"state":   {"more/fleet/kippermulde-fleet.toml", "more/fleet/lopresti-mercato-fleet.toml"},
	"early":   {"sites/kippermulde.toml", "sites/lopresti-mercato.toml"},
	"ops":     {"more/kippermulde-ops.toml", "more/lopresti-mercato-ops.toml"},
	"hunt":    {"more/hunt/kippermulde-hunt.toml", "more/hunt/lopresti-mercato-hunt.toml"},
}

// scoreNoise is by how much a deployment's figure may differ with nothing changed.
const scoreNoise = 0.03

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

// journalEntry is what the tool reads of an entry in the journal.
type journalEntry struct {
	ID    string      `json:"id"`
	At    []string    `json:"at"`
	Cmd   string      `json:"cmd"`
	Argv  []string    `json:"argv"`
	Site  string      `json:"site"`
	OK    bool        `json:"ok"`
	Error string      `json:"error"`
	Score *float64    `json:"score"`
	Days  []dayResult `json:"days"`
}

type dayResult struct {
	Name     string         `json:"name"`
	Score    float64        `json:"score"`
	Rules    map[string]int `json:"rules"`
	Fault    string         `json:"fault"`
	Restarts float64        `json:"restarts"`
}

func (e *journalEntry) quick() bool { return slices.Contains(e.Argv, "--quick") }

// failures lists what must never be: a broken rule, a failed day, a process that ended.
func (e *journalEntry) failures() []string {
	var out []string
	for _, d := range e.Days {
		for _, rule := range slices.Sorted(maps.Keys(d.Rules)) {
			out = append(out, fmt.Sprintf("%s, day %s: rule %s broken %d times", e.Site, d.Name, rule, d.Rules[rule]))
		}
		if d.Fault != "" {
			out = append(out, fmt.Sprintf("%s, day %s: %s", e.Site, d.Name, d.Fault))
		}
		if d.Restarts > 0 {
			out = append(out, fmt.Sprintf("%s, day %s: a controller ended by itself", e.Site, d.Name))
		}
	}
	if !e.OK {
		out = append(out, fmt.Sprintf("%s: %s", e.Site, e.Error))
	}
	return out
}

// readJournal reads all entries, the oldest first.
func readJournal(dir string) ([]*journalEntry, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	slices.Sort(names) // they begin with the time
	var out []*journalEntry
	for _, name := range names {
		data, err := os.ReadFile(name)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("journal: %w", err)
		}
		e := &journalEntry{}
		if err := json.Unmarshal(data, e); err != nil {
			return nil, fmt.Errorf("journal: %s: %w", filepath.Base(name), err)
		}
		out = append(out, e)
	}
	return out, nil
}

// lastScore is the newest score of a deployment; a quick one estimates one of all days, and is
// compared with such where there is none of its kind.
func lastScore(journal []*journalEntry, deployment string, quick bool) *journalEntry {
	var other *journalEntry
	for _, e := range slices.Backward(journal) {
		if e.Cmd != "score" || e.Site != deployment || e.Score == nil {
			continue
		}
		if e.quick() == quick {
			return e
		}
		if other == nil {
			other = e
		}
	}
	return other
}

// bestScore is the highest score of a deployment: many small falls in a row show against it.
func bestScore(journal []*journalEntry, deployment string) float64 {
	top := 0.0
	for _, e := range journal {
		if e.Cmd == "score" && e.Site == deployment && e.Score != nil {
			top = max(top, *e.Score)
		}
	}
	return top
}

func runBench(out, errs io.Writer, args ...string) error {
	c := exec.Command(cli.Bench, args...)
	c.Stdout, c.Stderr = out, errs
	return c.Run()
}

// dayReport is what a day's report tells of how classes and teams were served. Of teams it
// counts the jobs that started and no more.
type dayReport struct {
	Duration float64 `json:"duration_s"`
	Classes  map[string]struct {
		Jobs      int      `json:"jobs"`
		Started   int      `json:"started"`
		Done      int      `json:"done"`
		Cancelled int      `json:"cancelled"`
		Up        *float64 `json:"up"` // of services: the share of the replica time
	} `json:"classes"`
	Teams map[string]struct {
		Jobs    int `json:"jobs"`
		Started int `json:"started"`
	} `json:"teams"`
}

// minServedShare names the class and the team that were served least, and to which share.
func (r *dayReport) leastServed() (class string, classShare float64, team string, teamShare float64) {
	classShare, teamShare = 2, 2
	share := func(got, of int) float64 {
		if of <= 0 {
			return 1
		}
		return float64(got) / float64(of)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		c := r.Classes[name]
		s := share(c.Started, c.Jobs)
		if c.Up != nil {
			s = min(s, *c.Up)
		} else {
			s = min(s, share(c.Done, c.Jobs-c.Cancelled))
		}
		if s < classShare {
			class, classShare = name, s
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.Teams)) {
		if s := share(r.Teams[name].Started, r.Teams[name].Jobs); s < teamShare {
			team, teamShare = name, s
		}
	}
	return class, classShare, team, teamShare
}

// minServedShare is the share under which no class and no team may fall on any day.
const minServedShare = 0.6

// checkServed plays days once more for their reports, which a score does not give, and
// tells who was served least. It returns what is wrong.
func checkServed(days [][2]string) []string {
	dir, err := os.MkdirTemp("", "regress")
	if err != nil {
		return []string{err.Error()}
	}
	defer func() { _ = os.RemoveAll(dir) }()
	lines, problems := make([]string, len(days)), make([]string, len(days))
	var wait sync.WaitGroup
	semaphore := make(chan struct{}, cli.Jobs)
	for i, d := range days {
		wait.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			report, name := filepath.Join(dir, fmt.Sprintf("%d.json", i)), strings.TrimSuffix(filepath.Base(d[0]), ".toml")+", day "+d[1]
			// A day that misses its aims is no news here, so what counts is the report.
			var log bytes.Buffer
			_ = runBench(io.Discard, &log, "run", d[0], d[1], "--no-cpu", "--log", "info", "--report", report, "--why", cli.Why)
			var r dayReport
			data, err := os.ReadFile(report)
			if err == nil {
				err = json.Unmarshal(data, &r)
			}
			if err != nil || len(r.Classes) == 0 || len(r.Teams) == 0 {
				problems[i] = fmt.Sprintf("%s: no report of classes and teams: %v", name, err)
				return
			}
			class, classShare, team, teamShare := r.leastServed()
			l := findLargestJobs(parseJobLog(&log), r.Duration)
			lines[i] = fmt.Sprintf("%-40s %-16s %6.3f   %-16s %6.3f   %-16s %6.3f %6.0f s", name, class, classShare, team, teamShare, l.class, l.share, l.maxStartDelay)
			var reasons []string
			if min(classShare, teamShare, l.share) < minServedShare {
				reasons = append(reasons, fmt.Sprintf("class %s was served to %.3f, team %s to %.3f, the largest of %s to %.3f, at least %.1f is expected", class, classShare, team, teamShare, l.class, l.share, minServedShare))
			}
			if l.maxStartDelay > maxStartWait {
				reasons = append(reasons, fmt.Sprintf("%s, of the largest of its class, waited %.0f s to begin, %.0f s at most is expected", l.slowestJob, l.maxStartDelay, maxStartWait))
			}
			if len(reasons) > 0 {
				problems[i] = name + ": " + strings.Join(reasons, "; ")
			}
		})
	}
	wait.Wait()
	fmt.Printf("\n%-40s %-16s %6s   %-16s %6s   %-16s %6s %s  (simulated)\n", "least served", "class", "", "team", "", "largest of", "", "latest begin")
	for _, l := range lines {
		if l != "" {
			fmt.Println(l)
		}
	}
	return slices.DeleteFunc(problems, func(b string) bool { return b == "" })
}

func run() error {
	files := slices.Clone(sets["landing"])
	quick, scored := cli.Set != "full", cli.Set != "hunt" && cli.Set != "scale"
	switch cli.Set {
	case "hunt", "scale":
		files = slices.Clone(sets["hunt"])
	case "state":
		files = slices.Concat(files, sets["state"], sets["hunt"])
	case "full":
		files = slices.Concat(files, sets["state"], sets["hunt"], sets["early"], sets["ops"])
	}
	for i, f := range files {
		files[i] = filepath.Join(cli.Sites, f)
	}
	dir, err := os.MkdirTemp("", "grown")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if files, err = grownCopies(files, dir); err != nil {
		return err
	}
	entriesBefore, err := readJournal(cli.Journal)
	if err != nil {
		return err
	}
	known := map[string]bool{}
	for _, e := range entriesBefore {
		known[e.ID] = true
	}
	var failed error
	// What the bench makes of a score is in the journal, so its exit code alone is not the verdict.
	if scored {
		args := append([]string{"score"}, files...)
		if quick {
			args = append(args, "--quick")
		}
		failed = runBench(os.Stdout, os.Stderr, append(args, "--jobs", fmt.Sprint(cli.Jobs), "--why", cli.Why)...)
	} else if cli.Set == "hunt" {
		cli.Hunt = cmp.Or(cli.Hunt, defaultHuntDays)
	}
	if cli.Hunt > 0 {
		for _, f := range files {
			if err := runBench(os.Stdout, os.Stderr, "hunt", f, "--days", fmt.Sprint(cli.Hunt), "--jobs", fmt.Sprint(cli.Jobs), "--why", cli.Why); err != nil {
				failed = errors.Join(failed, err)
			}
		}
	}
	var problems []string
	switch cli.Set {
	case "hunt":
		problems = runProjectDays(files)
	case "scale":
		problems = runScaleDays(files, dir)
	}
	entriesAfter, err := readJournal(cli.Journal)
	if err != nil {
		return err
	}
	seen, fileOf := map[string]bool{}, map[string]string{}
	for _, f := range files {
		fileOf[strings.TrimSuffix(filepath.Base(f), ".toml")] = f
	}
	var days [][2]string // that were played
	fmt.Printf("\n%-26s %8s %8s %8s %8s  (simulated)\n", "deployment", "best", "before", "now", "change")
	for _, e := range entriesAfter {
		if known[e.ID] || !slices.Contains([]string{"score", "hunt", "run"}, e.Cmd) {
			continue
		}
		problems = append(problems, e.failures()...)
		if e.Cmd != "score" || e.Score == nil {
			continue
		}
		seen[e.Site] = true
		for _, d := range e.Days {
			if f := fileOf[e.Site]; f != "" && !strings.HasPrefix(d.Name, "fresh-") {
				days = append(days, [2]string{f, d.Name})
			}
		}
		previous := lastScore(entriesBefore, e.Site, quick)
		if previous == nil {
			fmt.Printf("%-26s %8s %8s %8.3f\n", e.Site, "-", "-", *e.Score)
			continue
		}
		change := *e.Score - *previous.Score
		fmt.Printf("%-26s %8.3f %8.3f %8.3f %+8.3f  against %s\n", e.Site, bestScore(entriesBefore, e.Site), *previous.Score, *e.Score, change, previous.ID)
		if change < -scoreNoise {
			problems = append(problems, fmt.Sprintf("%s fell by %.3f: repeat it, or with --no-cpu, then trace it", e.Site, -change))
		}
	}
	for _, f := range files {
		if !scored {
			break
		}
		if deployment := strings.TrimSuffix(filepath.Base(f), ".toml"); !seen[deployment] {
			problems = append(problems, deployment+": no score was written")
		}
	}
	if scored {
		problems = append(problems, checkServed(days)...)
	}
	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "\n"))
	}
	return failed
}

// defaultGrowth is how many times the machines the copies of the fleets have in the set state.
const defaultGrowth = 1.5

// grownCopies makes of the deployments what is to be played: grown copies in their stead, or beside
// the fleets.
func grownCopies(files []string, dir string) ([]string, error) {
	factor, originals := cli.Grow, files
	switch {
	case factor == 1 || factor == 0 && cli.Set != "state":
		return files, nil
	case factor == 0:
		factor, originals = defaultGrowth, files[len(sets["landing"]):][:len(sets["state"])]
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
