// Package layout checks that the pages for newcomers name what exists, and that the layers of
// the tree import each other in one direction only.
package layout

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const root = "../../.."

// quotedPath is a path below the module's root in backquotes.
var quotedPath = regexp.MustCompile("`((?:cmd|internal|docs|deploy)/[A-Za-z0-9_./-]+)`")

func TestPagesNameExistingPaths(t *testing.T) {
	for _, page := range []string{"docs/ARCHITECTURE.md", "docs/GLOSSARY.md", "README.md"} {
		t.Run(page, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join(root, page))
			if err != nil {
				t.Fatal(err)
			}
			found := quotedPath.FindAllStringSubmatch(string(text), -1)
			if len(found) == 0 {
				t.Error("the page names no path")
			}
			for _, match := range found {
				if _, err := os.Stat(filepath.Join(root, match[1])); err != nil {
					t.Errorf("%s does not exist", match[1])
				}
			}
		})
	}
}

func TestStoreysDoNotImportEachOther(t *testing.T) {
	const control, host = "internal/fleet/control", "internal/fleet/host"
	for from, to := range map[string]string{control: host, host: control} {
		t.Run(from, func(t *testing.T) {
			checked := 0
			for file, imports := range sources(t, from) {
				checked++
				for _, path := range imports {
					if path == "martendrum/"+to || strings.HasPrefix(path, "martendrum/"+to+"/") {
						t.Errorf("%s imports %s", file, path)
					}
				}
			}
			if checked == 0 {
				t.Errorf("there are no sources in %s", from)
			}
		})
	}
}

// Pure packages decide without I/O.
func TestPurePackagesHaveNoIO(t *testing.T) {
	forbidden := map[string]bool{"net": true, "net/http": true, "os": true, "os/exec": true, "database/sql": true, "syscall": true}
	for _, dir := range []string{
		"internal/handover/idtable", "internal/fleet/canary", "internal/fleet/control/rollout", "internal/fleet/distribution",
		"internal/fleet/lease", "internal/fleet/stage", "internal/peers", "internal/recovery", "internal/shutdown",
	} {
		for file, imports := range sources(t, dir) {
			if filepath.Dir(file) != filepath.FromSlash(dir) || strings.HasSuffix(file, "_test.go") {
				continue
			}
			for _, path := range imports {
				if forbidden[path] {
					t.Errorf("%s imports %s", file, path)
				}
			}
		}
	}
}

// sources returns the imports of each Go file below a folder, by the file's path from the root.
func sources(t *testing.T, dir string) map[string][]string {
	t.Helper()
	found := make(map[string][]string)
	err := filepath.WalkDir(filepath.Join(root, dir), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		found[name] = nil
		for _, spec := range file.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			found[name] = append(found[name], imported)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}
