package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"chervilyard.example/chervilstand/dev"
	"chervilyard.example/chervilstand/engine"
	"chervilyard.example/chervilstand/service"
	"chervilyard.example/yard/memory"
)

const closeTime = time.Second

type devCommand struct {
	Listen  string        `long:"listen" default:"127.0.0.1:8080" description:"callers' address of the first instance; the next ones take the following ports"`
	Store   string        `long:"store" default:"127.0.0.1:8070" description:"address of the store"`
	Log     string        `long:"log" default:"warn" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level of log lines, to standard error"`
	Latency time.Duration `long:"latency" default:"5ms" description:"engines' time to the first token"`
	Rate    float64       `long:"rate" default:"1000" description:"engines' tokens a second of one stream"`
}

// Execute runs the development environment until it is interrupted.
func (c *devCommand) Execute([]string) error {
	ctx, cancel := interrupted()
	defer cancel()
	log := hclog.New(&hclog.LoggerOptions{Name: "dev", Level: hclog.LevelFromString(c.Log), Output: os.Stderr, JSONFormat: true})
	start := time.Now()
	d, err := dev.Start(context.Background(), dev.Options{
		Listen: c.Listen, Store: c.Store, Log: log, Engine: engine.Options{Latency: c.Latency, Rate: c.Rate},
	})
	if err != nil {
		return err
	}
	fmt.Printf("ready in %v: callers %s, store %s, environment dev\n", time.Since(start).Round(time.Millisecond), addresses(d), d.StoreURL)
	fmt.Printf("curl -s http://%s/v1/chat/completions -H 'Authorization: Bearer dev-key' -d '{\"model\":\"assistant\",\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n", d.Instances[0].Callers())
	fmt.Printf("curl -s http://%s/s/booking/deposits -H 'Authorization: Bearer dev-key' -H 'Idempotency-Key: one' -d '{\"amount\":100}'\n", d.Instances[0].Callers())
	<-ctx.Done()
	d.Stop(context.Background())
	return nil
}

func addresses(d *dev.Dev) []string {
	var list []string
	for _, i := range d.Instances {
		list = append(list, i.Callers())
	}
	return list
}

type storeCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:8070" description:"address"`
}

// Execute runs the store until it is interrupted.
func (c *storeCommand) Execute([]string) error { return serve(c.Listen, &memory.Store{}) }

type engineCommand struct {
	Listen   string        `long:"listen" default:"127.0.0.1:9000" description:"address"`
	Latency  time.Duration `long:"latency" default:"20ms" description:"time to the first token with a cached prompt"`
	Prefill  time.Duration `long:"prefill" default:"200us" description:"time for each prompt token that is not cached"`
	Rate     float64       `long:"rate" default:"1000" description:"tokens a second of one stream"`
	Capacity int           `long:"capacity" default:"64" description:"requests that run at once"`
	Cache    int           `long:"cache" default:"4096" description:"prompt blocks of 256 bytes that are kept"`
	Slow     float64       `long:"slow" default:"1" description:"factor on all times"`
	Errors   float64       `long:"errors" description:"part of requests answered with 500"`
	Break    float64       `long:"break" description:"part of answers that break off midway"`
	Hang     bool          `long:"hang" description:"never answer"`
}

// Execute runs the engine until it is interrupted.
func (c *engineCommand) Execute([]string) error {
	e := engine.New(engine.Options{Latency: c.Latency, Prefill: c.Prefill, Rate: c.Rate, Capacity: c.Capacity, Cache: c.Cache, Slow: c.Slow})
	e.Fail(engine.Faults{Errors: c.Errors, Break: c.Break, Hang: c.Hang}, 0)
	return serve(c.Listen, e)
}

type serviceCommand struct {
	Listen  string        `long:"listen" default:"127.0.0.1:9100" description:"address"`
	Latency time.Duration `long:"latency" default:"2ms" description:"time of a POST"`
}

// Execute runs the service until it is interrupted.
func (c *serviceCommand) Execute([]string) error {
	return serve(c.Listen, &service.Service{Latency: c.Latency})
}

func interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// serve runs a handler until the process is interrupted.
func serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	fmt.Println("ready", l.Addr())
	ctx, cancel := interrupted()
	defer cancel()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	stop, done := context.WithTimeout(context.Background(), closeTime)
	defer done()
	if err := s.Shutdown(stop); err != nil {
		return s.Close()
	}
	return nil
}
