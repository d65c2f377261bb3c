package docscheck

import (
	"slices"
	"strings"
	"testing"
)

// This file compares the tables of packages and layers in docs/architecture.md with the module.

const architecturePage = "docs/architecture.md"

// packageRow is a row of the table of packages.
type packageRow struct {
	layer string
}

// readPackages returns the rows of the table of packages, by directory.
func readPackages(t *testing.T) map[string]packageRow {
	t.Helper()
	packages := map[string]packageRow{}
	for _, row := range tableRows(t, architecturePage, "package", "layer", "owns") {
		name, layer := strings.Trim(row[0], "`"), row[1]
		if _, ok := packages[name]; ok {
			t.Errorf("%s: package %q is described twice", architecturePage, name)
		}
		packages[name] = packageRow{layer: layer}
	}
	return packages
}

// readLayers returns the layers that each layer may import.
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
			t.Errorf("%s: package %q has no row", architecturePage, dir)
		}
	}
	for name := range packages {
		if _, ok := module.imports[name]; !ok {
			t.Errorf("%s: package %q does not exist", architecturePage, name)
		}
	}
}

func TestImportsFollowLayers(t *testing.T) {
	packages, layers, module := readPackages(t), readLayers(t), readSources(t)
	for dir, imports := range module.imports {
		layer := packages[dir].layer
		allowed, ok := layers[layer]
		if !ok {
			t.Errorf("%s: package %q has the unknown layer %q", architecturePage, dir, layer)
			continue
		}
		for imported := range imports {
			if importedLayer := packages[imported].layer; !slices.Contains(allowed, importedLayer) {
				t.Errorf("%s (%s) imports %s (%s); allowed layers: %v", dir, layer, imported, importedLayer, allowed)
			}
		}
	}
}
