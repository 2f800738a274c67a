// Stand-ins and checks of the third review.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime is how long a case may run.
const maxTime = 115 * time.Second

func main() {
	cases := map[string]func(*World) (int, error){
		// The cases 11 to 14.
		"same-page": samePage, "crash-split": crashSplit, "brittle": brittle, "regress": regress,
		// Searches.
		"chaos": chaos, "early": early, "endless": endless, "hostile": hostile, "raw": raw, "reborn": reborn,
		"slow": slow, "term": term, "versions": versions, "zero": zero,
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand4 CASE ROOT DIRECTORY")
		os.Exit(2)
	}
	w, err := NewWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	signal.Ignore(syscall.SIGPIPE) // whoever reads the output may have gone
	go func() {
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
		select {
		case s := <-ended:
			w.Record.Say("ended by %v", s)
		case <-time.After(maxTime):
			w.Record.Say("not done after %v", maxTime)
		}
		w.Close()
		os.Exit(2)
	}()
	code, err := cases[os.Args[1]](w)
	if err != nil {
		w.Record.Say("could not run: %v", err)
	}
	w.Close()
	os.Exit(code)
}
