// Stand-ins and checks of the third review.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*World) (int, error){"brittle": brittle, "chaos": chaos, "crash-split": crashSplit, "early": early, "slow": slow, "reborn": reborn, "zero": zero, "same-page": samePage, "endless": endless, "term": term, "versions": versions, "hostile": hostile, "raw": raw, "regress": regress}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-4 CASE ROOT DIRECTORY")
		os.Exit(2)
	}
	w, err := NewWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	code, err := cases[os.Args[1]](w)
	if err != nil {
		w.Record.Say("could not run: %v", err)
	}
	w.Close()
	os.Exit(code)
}
