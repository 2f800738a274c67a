package drill

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

func TestAll(t *testing.T) {
	fs, _ := filepath.Glob("scenario/*.ini")
	fmt.Println(Heading)
	for _, f := range fs {
		b, _ := os.ReadFile(f)
		s, err := ParseScript(filepath.Base(f), string(b))
		if err != nil {
			t.Fatal(err)
		}
		t0 := time.Now()
		r, err := Run(s)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Println(r, r.Wait, time.Since(t0).Round(time.Millisecond))
	}
}
