package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// sources returns the text of all Go files of the workspace, tests or not.
func sources(t *testing.T, tests bool) string {
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

func page(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func names(pattern, text string) map[string]bool {
	found := make(map[string]bool)
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		found[m[1]] = true
	}
	return found
}

// TestPromisesHaveTests checks that each test which README names exists.
func TestPromisesHaveTests(t *testing.T) {
	exist := names(`func (Test\w+)\(`, sources(t, true))
	named := names("`(Test\\w+)`", page(t, "README.md"))
	if len(named) == 0 {
		t.Error("README names no test")
	}
	for name := range named {
		if !exist[name] {
			t.Errorf("README names %s, which does not exist", name)
		}
	}
}

// TestMetricsAreDocumented checks the metrics of code and page both ways.
func TestMetricsAreDocumented(t *testing.T) {
	inCode := names("[\"`](chervil_[a-z_]+)", sources(t, false))
	inPage := names("`(chervil_[a-z_]+)`", page(t, "docs/OPERATIONS.md"))
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

// TestSettingsAreDocumented checks that each key which the parsers read is on
// the operators' page.
func TestSettingsAreDocumented(t *testing.T) {
	text := page(t, "docs/OPERATIONS.md")
	for _, file := range []string{"yard/setting/setting.go", "yard/document/document.go"} {
		for name := range names(`\.(?:Text|Need|Choice|Bool|Number|Int|Duration|List|Address)\("([a-z]+)"`, page(t, file)) {
			if !strings.Contains(text, "`"+name+"`") {
				t.Errorf("%s reads %s, which docs/OPERATIONS.md does not name", file, name)
			}
		}
	}
}
