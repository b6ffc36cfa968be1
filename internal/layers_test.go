// Package internal_test checks how the folders of the project use each other.
package internal_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// layers are the folders from the bottom up: each may import itself and what stands below it. A package of its own
// counts as a folder.
var layers = []string{
	"decide",
	"internal/system",
	"internal/protocol",
	"internal/handover",
	"internal/simwire",
	"internal/core",
	"internal/resources",
	"internal/record",
	"internal/admin",
	"internal/config",
	"internal/controlplane",
	"internal/dataplane",
	"internal/lab",
	"cmd",
}

// layerOf is the place of a package's folder in layers, or -1.
func layerOf(path string) int {
	for i, layer := range layers {
		if path == layer || strings.HasPrefix(path, layer+"/") {
			return i
		}
	}
	return -1
}

func TestLayers_NoImportRunsUp(t *testing.T) {
	root := ".."
	checked := 0
	require.NoError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		dir, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		if strings.HasPrefix(dir, "internal/testutil") { // only tests import it
			return nil
		}
		from := layerOf(dir)
		if !assert.GreaterOrEqual(t, from, 0, "%s stands in no layer", dir) {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			local, ours := strings.CutPrefix(imported, "robincart/")
			if !ours {
				continue
			}
			checked++
			to := layerOf(local)
			assert.GreaterOrEqual(t, to, 0, "%s imports %s, which stands in no layer", path, local)
			assert.LessOrEqual(t, to, from, "%s imports %s, which stands above it", path, local)
			assert.False(t, layers[from] == "cmd" && layers[to] == "internal/lab" && !strings.HasPrefix(dir, "cmd/robinlab"),
				"%s imports the lab", path)
		}
		return nil
	}))
	assert.Greater(t, checked, 100, "imports checked")
}
