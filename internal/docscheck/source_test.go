package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// This file parses the module's sources.

// modulePath is the prefix of the import paths of the module's packages.
const modulePath = "basaltwall"

// moduleRoot is the module's root directory, relative to this package.
const moduleRoot = "../.."

// sources has the declarations, imports and string literals of the module's Go files.
type sources struct {
	imports  map[string]map[string]bool // by package directory: imported packages of the module, except in tests
	files    map[string]bool            // Go files, by path and by name
	declared map[string]map[string]bool // by package name: functions, types, variables, methods and fields
	names    map[string]bool            // declared names of all packages
	tests    map[string]bool            // test and benchmark functions
	literals map[string]bool            // string literals, except in tests
}

// readSources parses all Go files of the module, without nested modules.
func readSources(t *testing.T) *sources {
	t.Helper()
	s := &sources{
		imports: map[string]map[string]bool{}, files: map[string]bool{}, declared: map[string]map[string]bool{},
		names: map[string]bool{}, tests: map[string]bool{}, literals: map[string]bool{},
	}
	err := filepath.WalkDir(moduleRoot, func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return skipDirectory(file, entry.Name())
		}
		if strings.HasSuffix(file, ".go") {
			return s.addFile(file)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// skipDirectory returns fs.SkipDir for directories without packages of the module.
func skipDirectory(dir, name string) error {
	if dir == moduleRoot {
		return nil
	}
	if strings.HasPrefix(name, ".") || name == "testdata" || name == "target" {
		return fs.SkipDir
	}
	if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
		return fs.SkipDir
	}
	return nil
}

func (s *sources) addFile(file string) error {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	relative, err := filepath.Rel(moduleRoot, file)
	if err != nil {
		return err
	}
	relative = filepath.ToSlash(relative)
	dir, isTest := path.Dir(relative), strings.HasSuffix(relative, "_test.go")
	s.files[relative], s.files[path.Base(relative)] = true, true
	if s.imports[dir] == nil {
		s.imports[dir] = map[string]bool{}
	}
	if !isTest {
		s.addImports(dir, parsed)
	}
	s.addDeclarations(parsed, isTest)
	return nil
}

func (s *sources) addImports(dir string, file *ast.File) {
	for _, spec := range file.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			continue
		}
		if inModule, ok := strings.CutPrefix(imported, modulePath+"/"); ok {
			s.imports[dir][inModule] = true
		}
	}
}

func (s *sources) addDeclarations(file *ast.File, isTest bool) {
	declared := s.declared[file.Name.Name]
	if declared == nil {
		declared = map[string]bool{}
		s.declared[file.Name.Name] = declared
	}
	declare := func(name string) { declared[name], s.names[name] = true, true }
	ast.Inspect(file, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.FuncDecl:
			declare(n.Name.Name)
			if isTest && n.Recv == nil {
				s.tests[n.Name.Name] = true
			}
		case *ast.TypeSpec:
			declare(n.Name.Name)
		case *ast.ValueSpec:
			for _, name := range n.Names {
				declare(name.Name)
			}
		case *ast.Field:
			for _, name := range n.Names {
				declare(name.Name)
			}
		case *ast.BasicLit:
			s.addLiteral(n, isTest)
		}
		return true
	})
}

func (s *sources) addLiteral(literal *ast.BasicLit, isTest bool) {
	if literal.Kind != token.STRING || isTest {
		return
	}
	if text, err := strconv.Unquote(literal.Value); err == nil {
		s.literals[text] = true
	}
}
