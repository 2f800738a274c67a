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
	"chervilyard.example/yard/memstore"
)

const shutdownTimeout = time.Second

type devCommand struct {
	Listen  string        `long:"listen" default:"127.0.0.1:8080" description:"address of the first instance for callers; the other instances use the ports that follow, or each a free port if the port is 0"`
	Store   string        `long:"store" default:"127.0.0.1:8070" description:"listen address of the store"`
	Log     string        `long:"log" default:"warn" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"minimum level of the log, which goes to standard error"`
	Latency time.Duration `long:"latency" default:"5ms" description:"time to the first token of an engine"`
	Rate    float64       `long:"rate" default:"1000" description:"tokens per second of one stream of an engine"`
}

// Execute runs the development environment until it is interrupted.
func (c *devCommand) Execute([]string) error {
	ctx, cancel := interruptContext()
	defer cancel()
	log := hclog.New(&hclog.LoggerOptions{Name: "dev", Level: hclog.LevelFromString(c.Log), Output: os.Stderr, JSONFormat: true})
	start := time.Now()
	d, err := dev.Start(context.Background(), dev.Options{
		Listen: c.Listen, Store: c.Store, Log: log, Engine: engine.Options{Latency: c.Latency, Rate: c.Rate},
	})
	if err != nil {
		return err
	}
	fmt.Printf("ready in %v: callers %s, store %s, environment dev\n", time.Since(start).Round(time.Millisecond), callerAddresses(d), d.StoreURL)
	fmt.Printf("curl -s http://%s/v1/chat/completions -H 'Authorization: Bearer dev-key' -d '{\"model\":\"assistant\",\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n", d.Instances[0].CallerAddr())
	fmt.Printf("curl -s http://%s/s/booking/deposits -H 'Authorization: Bearer dev-key' -H 'Idempotency-Key: one' -d '{\"amount\":100}'\n", d.Instances[0].CallerAddr())
	<-ctx.Done()
	d.Stop(context.Background())
	return nil
}

func callerAddresses(d *dev.Environment) []string {
	var addresses []string
	for _, inst := range d.Instances {
		addresses = append(addresses, inst.CallerAddr())
	}
	return addresses
}

type storeCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:8070" description:"listen address"`
}

// Execute runs the store until it is interrupted.
func (c *storeCommand) Execute([]string) error { return serve(c.Listen, &memstore.Store{}) }

type engineCommand struct {
	Listen      string        `long:"listen" default:"127.0.0.1:9000" description:"listen address"`
	Latency     time.Duration `long:"latency" default:"20ms" description:"time to the first token if the whole prompt is cached"`
	Prefill     time.Duration `long:"prefill" default:"200us" description:"additional time for each prompt token that is not cached"`
	Rate        float64       `long:"rate" default:"1000" description:"tokens per second of one stream"`
	Capacity    int           `long:"capacity" default:"64" description:"maximum number of concurrent requests; more are queued"`
	CacheBlocks int           `long:"cache" default:"4096" description:"size of the prompt cache in blocks of 256 bytes"`
	TimeFactor  float64       `long:"slow" default:"1" description:"factor by which all times are multiplied; less than 1 counts as 1"`
	ErrorRate   float64       `long:"errors" description:"fraction of requests, 0 to 1, that are answered with status 500"`
	CutRate     float64       `long:"break" description:"fraction of responses, 0 to 1, that are cut midway"`
	Hang        bool          `long:"hang" description:"never answer a request"`
}

// Execute runs the engine until it is interrupted.
func (c *engineCommand) Execute([]string) error {
	e := engine.New(engine.Options{Latency: c.Latency, Prefill: c.Prefill, Rate: c.Rate, Capacity: c.Capacity, CacheBlocks: c.CacheBlocks, TimeFactor: c.TimeFactor})
	e.SetFaults(engine.Faults{ErrorRate: c.ErrorRate, CutRate: c.CutRate, Hang: c.Hang}, 0)
	return serve(c.Listen, e)
}

type serviceCommand struct {
	Listen  string        `long:"listen" default:"127.0.0.1:9100" description:"listen address"`
	Latency time.Duration `long:"latency" default:"2ms" description:"processing time of a POST"`
}

// Execute runs the service until it is interrupted.
func (c *serviceCommand) Execute([]string) error {
	return serve(c.Listen, &service.Service{Latency: c.Latency})
}

// interruptContext returns a context that ends on SIGTERM or SIGINT.
func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// serve runs an HTTP server until SIGTERM or SIGINT and then shuts it down. Requests
// that are still open after shutdownTimeout are cut.
func serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.Serve(l) }()
	fmt.Println("ready", l.Addr())
	ctx, cancel := interruptContext()
	defer cancel()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelShutdown()
	if err := s.Shutdown(shutdownCtx); err != nil {
		return s.Close()
	}
	return nil
}
