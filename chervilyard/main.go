// Chervilyard runs one instance of the gateway until it receives SIGTERM or SIGINT.
//
// It exits with status 0 after an orderly stop, 1 if the instance cannot start, and 2
// if the arguments or the settings are invalid.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"

	"chervilyard.example/chervilyard/instance"
	"chervilyard.example/yard/setting"
)

type options struct {
	Config string `long:"config" short:"c" required:"true" value-name:"FILE" description:"settings of this instance (INI)"`
	Check  bool   `long:"check" description:"check the settings and exit"`
}

const (
	exitInvalidInput = 2 // invalid arguments or settings
	exitStartFailed  = 1
	softMemoryRatio  = 0.8 // fraction of the memory setting that is the soft limit of the Go runtime
	gcPercent        = 50  // with a memory setting; bodies would otherwise leave as much garbage again
)

func main() { os.Exit(run()) }

func run() int {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			return 0
		}
		return exitInvalidInput
	}
	text, err := os.ReadFile(opts.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidInput
	}
	settings, err := setting.Parse(opts.Config, string(text))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidInput
	}
	if opts.Check {
		fmt.Println("settings are good")
		return 0
	}
	return serve(settings)
}

// serve runs the instance until the process receives SIGTERM or SIGINT, and returns the
// exit status.
func serve(settings setting.Settings) int {
	log := hclog.New(&hclog.LoggerOptions{Name: "chervilyard", Level: hclog.LevelFromString(settings.LogLevel()), Output: os.Stdout, JSONFormat: true})
	if memory := settings.Limits().MemoryBytes; memory > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(float64(memory) * softMemoryRatio))
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	inst, err := instance.Start(context.Background(), settings, log)
	if err != nil {
		log.Error("not started", "error", err.Error())
		return exitStartFailed
	}
	log.Info("started", "callers", inst.CallerAddr(), "peers", inst.PeerAddr(), "operators", inst.OperatorAddr(), "centre", settings.Centre())
	<-ctx.Done()
	inst.Stop(context.Background())
	return 0
}
