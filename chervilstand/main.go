// Chervilstand runs stand-ins of what the gateway meets, and load against it.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
)

const (
	exitFault = 2
	exitFail  = 1
)

type options struct {
	Dev     devCommand     `command:"dev" description:"run a store, targets and three instances in this process"`
	Store   storeCommand   `command:"store" description:"run the store stand-in"`
	Engine  engineCommand  `command:"engine" description:"run an engine stand-in"`
	Load    loadCommand    `command:"load" description:"send calls in an open loop and measure them"`
	Quota   quotaCommand   `command:"quota" description:"measure the quota decisions on scripted demand and faults"`
	Slopes  slopesCommand  `command:"slopes" description:"measure slopes and work out the planned size"`
	Service serviceCommand `command:"service" description:"run a service stand-in"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	_, err := flags.Parse(&o)
	var f *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &f) && f.Type == flags.ErrHelp:
		return 0
	case errors.As(err, &f):
		return exitFault
	}
	return exitFail
}
