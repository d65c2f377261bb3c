package docscheck

import (
	"slices"
	"strings"
	"testing"
)

// This file holds the tables of packages and layers in docs/architecture.md to the module.

const architecturePage = "docs/architecture.md"

// described is a package's row in the page on the architecture.
type described struct {
	layer string
}

// readPackages reads the table of packages, by directory.
func readPackages(t *testing.T) map[string]described {
	t.Helper()
	packages := map[string]described{}
	for _, row := range tableRows(t, architecturePage, "package", "layer", "owns") {
		name, layer := strings.Trim(row[0], "`"), row[1]
		if _, ok := packages[name]; ok {
			t.Errorf("%s: package %q is described twice", architecturePage, name)
		}
		packages[name] = described{layer: layer}
	}
	return packages
}

// readLayers reads which layers a layer may import.
func readLayers(t *testing.T) map[string][]string {
	t.Helper()
	layers := map[string][]string{}
	for _, row := range tableRows(t, architecturePage, "layer", "may import", "rule") {
		layers[row[0]] = strings.Split(row[1], ", ")
	}
	return layers
}

func TestEveryPackageIsDescribed(t *testing.T) {
	packages, module := readPackages(t), readSources(t)
	for dir := range module.imports {
		if _, ok := packages[dir]; !ok {
			t.Errorf("%s: package %q is missing", architecturePage, dir)
		}
	}
	for name := range packages {
		if _, ok := module.imports[name]; !ok {
			t.Errorf("%s: no such package: %q", architecturePage, name)
		}
	}
}

func TestImportsFollowLayers(t *testing.T) {
	packages, layers, module := readPackages(t), readLayers(t), readSources(t)
	for dir, imports := range module.imports {
		layer := packages[dir].layer
		allowed, ok := layers[layer]
		if !ok {
			t.Errorf("%s: package %q is in no layer: %q", architecturePage, dir, layer)
			continue
		}
		for imported := range imports {
			if importedLayer := packages[imported].layer; !slices.Contains(allowed, importedLayer) {
				t.Errorf("%s (%s) imports %s (%s); allowed are %v", dir, layer, imported, importedLayer, allowed)
			}
		}
	}
}
