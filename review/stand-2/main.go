// Stand2 runs the cases of the second review against the gateway's processes, with stand-ins for
// the store, the engines and the clients.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD, in the repository")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(record string, trouble bool) (bool, error){
		"cold": coldCase, "crash": crashCase, "brittle": brittleCase, "crowd": crowdCase, "trickle": trickleCase,
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	held, err := run(os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "not run:", err)
		os.Exit(exitNotRun)
	case !held:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
