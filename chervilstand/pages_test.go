package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// goSources returns the concatenated Go files of the workspace: the test files if
// tests is set, else all others.
func goSources(t *testing.T, tests bool) string {
	t.Helper()
	var all strings.Builder
	for _, module := range []string{"yard", "chervilyard", "chervilctl", "chervilstand", "platform"} {
		err := filepath.WalkDir(filepath.Join("..", module), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") != tests {
				return err
			}
			text, err := os.ReadFile(path)
			all.Write(text)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return all.String()
}

// readFile returns the text of a file given by its path from the root.
func readFile(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// findAll returns the distinct texts that the pattern's first group matches.
func findAll(pattern, text string) map[string]bool {
	found := make(map[string]bool)
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		found[m[1]] = true
	}
	return found
}

// TestDocumentedTestsExist checks that each test that README.md names exists.
func TestDocumentedTestsExist(t *testing.T) {
	existing := findAll(`func (Test\w+)\(`, goSources(t, true))
	documented := findAll("`(Test\\w+)`", readFile(t, "README.md"))
	if len(documented) == 0 {
		t.Error("README names no test")
	}
	for name := range documented {
		if !existing[name] {
			t.Errorf("README names %s, which does not exist", name)
		}
	}
}

// TestMetricsAreDocumented checks that the code and docs/OPERATIONS.md name the
// same metrics.
func TestMetricsAreDocumented(t *testing.T) {
	inCode := findAll("[\"`](chervil_[a-z_]+)", goSources(t, false))
	inPage := findAll("`(chervil_[a-z_]+)`", readFile(t, "docs/OPERATIONS.md"))
	for name := range inCode {
		if !inPage[name] {
			t.Errorf("metric %s is not in docs/OPERATIONS.md", name)
		}
	}
	for name := range inPage {
		if !inCode[name] {
			t.Errorf("docs/OPERATIONS.md names %s, which no code has", name)
		}
	}
}

// TestSettingsAreDocumented checks that docs/OPERATIONS.md names each key that
// the parsers of settings and documents read.
func TestSettingsAreDocumented(t *testing.T) {
	text := readFile(t, "docs/OPERATIONS.md")
	for _, file := range []string{"yard/setting/setting.go", "yard/document/document.go"} {
		for name := range findAll(`\.(?:Text|Need|Choice|Bool|Number|Int|Duration|List|Address)\("([a-z]+)"`, readFile(t, file)) {
			if !strings.Contains(text, "`"+name+"`") {
				t.Errorf("%s reads %s, which docs/OPERATIONS.md does not name", file, name)
			}
		}
	}
}
