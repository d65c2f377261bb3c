package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// pageCmd regenerates sections of the capacity page.
type pageCmd struct {
	Results string `default:"docs/capacity" type:"existingdir" help:"Folder of the results."`
	Page    string `default:"docs/CAPACITY.md" type:"existingfile" help:"Capacity page; the sections between its markers are replaced."`
	Check   bool   `help:"Only check that the page matches the results."`
}

// Markers of the generated sections of the page.
const (
	markBegin = "<!-- scale: %s -->"
	markEnd   = "<!-- scale: end -->"
)

// errStale is returned if the page does not match the results.
var errStale = errors.New("the page does not match the results: run scale page")

// Run writes the page's sections and the plots, or checks the page.
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

// replaceSection replaces the text between a section's markers.
func replaceSection(page, name, section string) (string, error) {
	begin := fmt.Sprintf(markBegin, name)
	before, rest, ok := strings.Cut(page, begin)
	if !ok {
		return "", fmt.Errorf("page has no marker %q", begin)
	}
	_, after, ok := strings.Cut(rest, markEnd)
	if !ok {
		return "", fmt.Errorf("page has no marker %q after %q", markEnd, begin)
	}
	return before + begin + "\n\n" + section + "\n" + markEnd + after, nil
}
