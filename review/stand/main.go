// Stand runs the scripted cases of the review: stand-ins for the platform's store, servers and
// clients around processes of the project's own program.
//
//	stand CASE FOLDER
//
// It exits with 0 if the rule held, with 1 if it was broken and with 2 if the case could not
// run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

var cases = map[string]func(s *Setup) (broken bool, err error){
	"recover":   recoverAll,
	"memory":    memory,
	"partition": partition,
	"idle":      idle,
	"stops":     stops,
}

// Setup is what a case gets.
type Setup struct {
	Trouble bool
	Root    string
	Record  *Record
}

func main() {
	runtime.LockOSThread() // the processes that it starts end with this thread
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(2)
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	s := &Setup{Trouble: os.Getenv("TROUBLE") != "0", Root: filepath.Dir(filepath.Dir(folder)), Record: record}
	broken, err := cases[os.Args[1]](s)
	switch {
	case err != nil:
		record.Say("the case could not run: %v", err)
		os.Exit(2)
	case broken:
		record.Say("result: the rule is broken")
		os.Exit(1)
	}
	record.Say("result: the rule held")
}
