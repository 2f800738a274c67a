package document_test

import (
	"errors"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"

	"chervilyard.example/yard/document"
	"chervilyard.example/yard/fault"
)

// TestFaults checks that Parse reports all faults of a text at once, each with
// its line, section and key.
func TestFaults(t *testing.T) {
	text, err := os.ReadFile("testdata/faults.ini")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/faults.txt")
	if err != nil {
		t.Fatal(err)
	}
	_, err = document.Parse("faults.ini", string(text))
	var list fault.List
	if !errors.As(err, &list) {
		t.Fatalf("error %v", err)
	}
	if got := list.Error(); got != strings.TrimSpace(string(want)) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// TestSharesSumToOne checks that the shares of all seats add up to 1 and that at
// least MinRegions regions hold one, or all regions if there are fewer, for several
// numbers of regions and seats and several bursts.
func TestSharesSumToOne(t *testing.T) {
	for _, regions := range []int{1, 3, 24} {
		for _, seats := range []int{1, 5} {
			for _, burst := range []int{10, 5000, 900000} {
				d := parseFleet(t, regions, seats, burst)
				sum, regionsWithShare := 0.0, make(map[string]bool)
				for _, c := range d.Centres() {
					for s := range c.Seats() {
						share := d.Share("c", c.Name(), s)
						sum += share
						if share > 0 {
							regionsWithShare[c.Region()] = true
						}
					}
				}
				if math.Abs(sum-1) > 1e-9 {
					t.Errorf("%d regions, %d seats, burst %d: shares add up to %v, want 1", regions, seats, burst, sum)
				}
				if len(regionsWithShare) < min(regions, d.Quota().MinRegions) {
					t.Errorf("%d regions, burst %d: quota held in only %d regions", regions, burst, len(regionsWithShare))
				}
			}
		}
	}
}

// parseFleet returns a document with the given number of regions, two data centres
// in each region with the given number of seats, and one customer "c".
func parseFleet(t *testing.T, regions, seats, burst int) *document.Document {
	t.Helper()
	var b strings.Builder
	b.WriteString("[environment]\nname = x\n")
	for r := range regions {
		fmt.Fprintf(&b, "[region r%d]\n", r)
		for c := range 2 {
			fmt.Fprintf(&b, "[centre r%d-%d]\nregion = r%d\nseats = %d\nweight = %d\n", r, c, r, seats, c+1)
		}
	}
	fmt.Fprintf(&b, "[customer c]\nrate = 10\nburst = %d\n", burst)
	d, err := document.Parse("x", b.String())
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// FuzzParse checks that Parse does not panic and that it accepts no document
// without a name.
func FuzzParse(f *testing.F) {
	text, err := os.ReadFile("testdata/faults.ini")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(text))
	f.Add("[environment]\nname = x\n[region r]\n[centre c]\nregion = r\n[customer k]\nrate = 1\nburst = 2\n")
	f.Add("[a\n=b\n[]\n[quota]\nlease = 9999999h\nkept = NaN")
	f.Fuzz(func(t *testing.T, text string) {
		d, err := document.Parse("fuzz", text)
		if err == nil && d.Name() == "" {
			t.Error("a document without a name was accepted")
		}
	})
}
