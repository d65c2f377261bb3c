package scenario

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/tools/txtar"

	"basaltwall/api"
)

// This file parses scripts: the archive, its lines and the arguments of a line.

// scriptFile is the file with the steps within the archive.
const scriptFile = "script"

var (
	errBadArguments = errors.New("invalid arguments")
	errNoScript     = errors.New("archive has no script")
	errNoEnd        = errors.New("script has no step end")
)

// line is one line of a script: a step and its arguments.
type line struct {
	name      string
	arguments []string
}

func (l line) String() string {
	return strings.Join(append([]string{l.name}, l.arguments...), " ")
}

// script is a parsed scenario.
type script struct {
	lines []line
	files map[string][]byte // all files of the archive, by name
}

// parseScript parses a scenario's archive.
func parseScript(data []byte) (script, error) {
	s := script{files: map[string][]byte{}}
	for _, f := range txtar.Parse(data).Files {
		s.files[f.Name] = f.Data
		if f.Name != scriptFile {
			continue
		}
		for text := range strings.Lines(string(f.Data)) {
			text, _, _ = strings.Cut(text, "#")
			if words := strings.Fields(text); len(words) > 0 {
				s.lines = append(s.lines, line{name: words[0], arguments: words[1:]})
			}
		}
	}
	if len(s.lines) == 0 {
		return script{}, errNoScript
	}
	return s, nil
}

// has reports whether the script contains a step.
func (s script) has(name string) bool {
	return slices.ContainsFunc(s.lines, func(l line) bool { return l.name == name })
}

// arguments are the arguments of a line, grouped by type, in the line's order.
type arguments struct {
	durations []time.Duration
	numbers   []float64
	names     []string
}

// parseArguments parses a line's arguments. The form has one letter per argument: d for a duration in
// seconds, n for a number, s for a word.
func parseArguments(words []string, form string) (arguments, error) {
	var a arguments
	if len(words) != len(form) {
		return a, fmt.Errorf("%d arguments, expected %d", len(words), len(form))
	}
	for i, f := range form {
		if f == 's' {
			a.names = append(a.names, words[i])
			continue
		}
		v, err := strconv.ParseFloat(words[i], 64)
		if err != nil {
			return arguments{}, err
		}
		if f == 'd' {
			a.durations = append(a.durations, api.Seconds(v))
		} else {
			a.numbers = append(a.numbers, v)
		}
	}
	return a, nil
}
