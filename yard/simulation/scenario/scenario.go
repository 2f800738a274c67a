// Package scenario contains the simulation scripts with which the quota logic is
// measured and tested.
package scenario

import (
	"embed"
	"fmt"
	"path"
	"strings"

	"chervilyard.example/yard/simulation"
)

//go:embed *.ini
var files embed.FS

// All returns all scripts, sorted by file name. The name of a script is its file
// name without the extension. All fails if a script is not valid.
func All() ([]*simulation.Script, error) {
	entries, err := files.ReadDir(".")
	if err != nil {
		return nil, err
	}
	var scripts []*simulation.Script
	for _, e := range entries {
		text, err := files.ReadFile(e.Name())
		if err != nil {
			return nil, err
		}
		s, err := simulation.ParseScript(strings.TrimSuffix(e.Name(), path.Ext(e.Name())), string(text))
		if err != nil {
			return nil, fmt.Errorf("scenario: %w", err)
		}
		scripts = append(scripts, s)
	}
	return scripts, nil
}
