// Package scenario holds the scripts of demand and faults that the quota
// decisions are measured and tested on.
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

// All returns every script by name.
func All() ([]*simulation.Script, error) {
	entries, err := files.ReadDir(".")
	if err != nil {
		return nil, err
	}
	var list []*simulation.Script
	for _, e := range entries {
		text, err := files.ReadFile(e.Name())
		if err != nil {
			return nil, err
		}
		s, err := simulation.ParseScript(strings.TrimSuffix(e.Name(), path.Ext(e.Name())), string(text))
		if err != nil {
			return nil, fmt.Errorf("scenario: %w", err)
		}
		list = append(list, s)
	}
	return list, nil
}
