package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// pageCmd writes the generated sections of the capacity page.
type pageCmd struct {
	Results string `default:"docs/capacity" type:"existingdir" help:"Where the results are."`
	Page    string `default:"docs/CAPACITY.md" type:"existingfile" help:"The page; what lies between its markers is written anew."`
	Check   bool   `help:"Change nothing, and fail if the page is not what the results give."`
}

// The page's generated sections lie between such lines.
const (
	markBegin = "<!-- scale: %s -->"
	markEnd   = "<!-- scale: end -->"
)

// errStale is returned when the page is not what the results give.
var errStale = errors.New("the page is not what the results give: run scale page")

// Run writes the page's sections and the plots.
func (c *pageCmd) Run() error {
	results, err := readResults(c.Results)
	if err != nil {
		return err
	}
	roles, err := readRoles(filepath.Join(c.Results, rolesFile))
	if err != nil {
		return err
	}
	text, err := os.ReadFile(c.Page)
	if err != nil {
		return err
	}
	page := string(text)
	for name, section := range map[string]string{
		"roles":  roleTable(roles, results),
		"slopes": slopeTable(results),
		"runs":   runTable(results),
		"faults": faultTable(results),
		"agent":  agentTable(c.Results),
	} {
		if page, err = replaceSection(page, name, section); err != nil {
			return err
		}
	}
	if c.Check {
		if page != string(text) {
			return errStale
		}
		return nil
	}
	if err := os.WriteFile(c.Page, []byte(page), 0o644); err != nil {
		return err
	}
	return writePlots(results, c.Results)
}

// replaceSection replaces what lies between a section's markers.
func replaceSection(page, name, section string) (string, error) {
	begin := fmt.Sprintf(markBegin, name)
	before, rest, ok := strings.Cut(page, begin)
	if !ok {
		return "", fmt.Errorf("no line %q in the page", begin)
	}
	_, after, ok := strings.Cut(rest, markEnd)
	if !ok {
		return "", fmt.Errorf("no line %q after %q", markEnd, begin)
	}
	return before + begin + "\n\n" + section + "\n" + markEnd + after, nil
}
