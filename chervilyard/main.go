// Chervilyard is one instance of the gateway.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
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
	exitFault = 2 // settings or arguments
	exitStart = 1
)

func main() { os.Exit(run()) }

func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			return 0
		}
		return exitFault
	}
	text, err := os.ReadFile(o.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFault
	}
	s, err := setting.Parse(o.Config, string(text))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFault
	}
	if o.Check {
		fmt.Println("settings are good")
		return 0
	}
	return serve(s)
}

func serve(s setting.Settings) int {
	log := hclog.New(&hclog.LoggerOptions{Name: "chervilyard", Level: hclog.LevelFromString(s.Level()), Output: os.Stdout, JSONFormat: true})
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	i, err := instance.Start(context.Background(), s, log)
	if err != nil {
		log.Error("not started", "error", err.Error())
		return exitStart
	}
	log.Info("started", "callers", i.Callers(), "peers", i.Peers(), "operators", i.Operators(), "centre", s.Centre())
	<-ctx.Done()
	i.Stop(context.Background())
	return 0
}
