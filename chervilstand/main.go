// Chervilstand runs test doubles of the store, the engines and the services that
// a gateway depends on, and measures the gateway under load. It also simulates
// quota decisions and measures how the costs of an instance grow with size.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
)

const (
	exitUsage  = 2
	exitFailed = 1
)

type options struct {
	Dev     devCommand     `command:"dev" description:"run a development environment in one process: a store, targets and three gateway instances"`
	Store   storeCommand   `command:"store" description:"run an in-memory store"`
	Engine  engineCommand  `command:"engine" description:"run a simulated model engine"`
	Load    loadCommand    `command:"load" description:"send requests in an open loop and measure their latency"`
	Quota   quotaCommand   `command:"quota" description:"simulate quota decisions under scripted demand and faults"`
	Slopes  slopesCommand  `command:"slopes" description:"measure how costs grow with size and compute the needs of the planned fleet"`
	Service serviceCommand `command:"service" description:"run a simulated service"`
}

func main() { os.Exit(run()) }

func run() int {
	var opts options
	_, err := flags.Parse(&opts)
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		return 0
	case errors.As(err, &flagsErr):
		return exitUsage
	}
	return exitFailed
}
