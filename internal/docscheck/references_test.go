package docscheck

import (
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// This file checks the references of pages to the code and to other pages.

const (
	operationsPage = "docs/operations.md"
	safetyPage     = "docs/safety.md"
)

// checkedPages returns the pages whose references must resolve. Reports of incidents are excluded, as
// they describe older versions.
func checkedPages(t *testing.T) []string {
	t.Helper()
	found, err := filepath.Glob(filepath.Join(moduleRoot, "docs", "*.md"))
	if err != nil || len(found) == 0 {
		t.Fatal("no pages under docs: ", err)
	}
	pages := []string{"README.md", "CONTRIBUTING.md"}
	for _, file := range found {
		pages = append(pages, path.Join("docs", filepath.Base(file)))
	}
	return pages
}

// otherPackages are packages and variables outside the module that pages use in selectors.
var otherPackages = map[string]bool{"errors": true, "t": true}

const scenarioDirectory = "internal/scenario/testdata"

var (
	goFile     = regexp.MustCompile(`^[a-z0-9_/]+\.go$`)
	treePath   = regexp.MustCompile(`^[a-z][a-z0-9_]*(/[a-z0-9_.]+)+/?$`)
	testName   = regexp.MustCompile(`^(Test|Benchmark)[A-Z][A-Za-z0-9]*$`)
	selector   = regexp.MustCompile(`^([a-z]+)\.([A-Z][A-Za-z0-9]*)(?:\.([A-Z][A-Za-z0-9]*))?$`)
	identifier = regexp.MustCompile(`^[A-Za-z]*[a-z][A-Z][A-Za-z0-9]*(\.[A-Z][A-Za-z0-9]*)?$`)
	link       = regexp.MustCompile(`\]\(([^)#\s:]*)(#[^)\s]*)?\)`)
	heading    = regexp.MustCompile(`(?m)^#+ (.*)$`)
	hyphenated = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*(-\*)?$`)
)

// exists reports whether a path relative to the module's root exists.
func exists(name string) bool {
	_, err := os.Stat(filepath.Join(moduleRoot, name))
	return err == nil
}

// problem describes why a reference in backticks does not resolve; "" if it resolves or is no reference.
func (s *sources) problem(reference string) string {
	switch {
	case testName.MatchString(reference):
		if !s.tests[reference] {
			return "no such test"
		}
	case goFile.MatchString(reference):
		if !s.files[reference] {
			return "no such file"
		}
	case treePath.MatchString(reference):
		if first, _, _ := strings.Cut(reference, "/"); exists(first) && !exists(reference) {
			return "no such package or file"
		}
	case selector.MatchString(reference):
		return s.selectorProblem(reference)
	case identifier.MatchString(reference):
		for name := range strings.SplitSeq(reference, ".") {
			if !s.names[name] {
				return "no declaration with that name"
			}
		}
	}
	return ""
}

// selectorProblem checks references of the forms package.Name and package.Type.Member.
func (s *sources) selectorProblem(reference string) string {
	parts := selector.FindStringSubmatch(reference)
	if otherPackages[parts[1]] {
		return ""
	}
	declared := s.declared[parts[1]]
	if declared == nil {
		return "no such package"
	}
	if !declared[parts[2]] || parts[3] != "" && !declared[parts[3]] {
		return "no such declaration in the package"
	}
	return ""
}

func TestReferencesResolve(t *testing.T) {
	module := readSources(t)
	for _, page := range checkedPages(t) {
		for _, reference := range codeSpans(readPage(t, page)) {
			if problem := module.problem(reference); problem != "" {
				t.Errorf("%s: `%s`: %s", page, reference, problem)
			}
		}
	}
}

// TestScenariosExist checks the columns of docs/safety.md that name the scenarios and tests of each
// rule, and the patterns of scenario names in all pages.
func TestScenariosExist(t *testing.T) {
	tables := [][][]string{
		tableRows(t, safetyPage, "rule", "upheld by", "shown by"),
		tableRows(t, safetyPage, "rule", "upheld by", "shown by (scenarios in `"+scenarioDirectory+"`)"),
	}
	for _, rows := range tables {
		for _, row := range rows {
			for _, reference := range codeSpans(row[2]) {
				checkScenario(t, safetyPage, row[0], reference)
			}
		}
	}
	for _, page := range checkedPages(t) {
		for _, reference := range codeSpans(readPage(t, page)) {
			if strings.HasSuffix(reference, "-*") {
				checkScenario(t, page, "", reference)
			}
		}
	}
}

// notScenarios are other words in the same columns: a rule of the checker and a kind of fault.
var notScenarios = map[string]bool{"pool": true, "ask": true}

func checkScenario(t *testing.T, page, row, reference string) {
	t.Helper()
	if !hyphenated.MatchString(reference) || notScenarios[reference] {
		return
	}
	found, err := filepath.Glob(filepath.Join(moduleRoot, scenarioDirectory, reference+".txtar"))
	if err != nil {
		t.Fatal(err)
	}
	if len(found) == 0 {
		t.Errorf("%s: %s: no such scenario `%s`", page, row, reference)
	}
}

// TestLogMessagesExist checks that the code contains each log message that docs/operations.md explains.
func TestLogMessagesExist(t *testing.T) {
	module := readSources(t)
	for _, row := range tableRows(t, operationsPage, "message", "meaning") {
		for _, message := range codeSpans(row[0]) {
			if message != "debug" && !module.literals[message] {
				t.Errorf("%s: no such log message `%s`", operationsPage, message)
			}
		}
	}
}

func TestLinksResolve(t *testing.T) {
	for _, page := range checkedPages(t) {
		for _, match := range link.FindAllStringSubmatch(readPage(t, page), -1) {
			target, anchor := page, strings.TrimPrefix(match[2], "#")
			if match[1] != "" {
				target = path.Join(path.Dir(page), match[1])
			}
			if !exists(target) {
				t.Errorf("%s: link to %s: no such file", page, match[1])
				continue
			}
			if anchor != "" && !hasHeading(t, target, anchor) {
				t.Errorf("%s: link to %s: no heading %q", page, target, anchor)
			}
		}
	}
}

// hasHeading reports whether a page has the heading of an anchor.
func hasHeading(t *testing.T, page, anchor string) bool {
	t.Helper()
	for _, match := range heading.FindAllStringSubmatch(readPage(t, page), -1) {
		if strings.ReplaceAll(strings.ToLower(notInAnchor.ReplaceAllString(match[1], "")), " ", "-") == anchor {
			return true
		}
	}
	return false
}

// notInAnchor matches the characters of a heading that its anchor omits.
var notInAnchor = regexp.MustCompile("[^A-Za-z0-9 _-]")
