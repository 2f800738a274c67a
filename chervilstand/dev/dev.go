// Package dev runs a small environment in one process: the store, targets and
// instances of three regions, from the sample document.
package dev

import (
	"context"
	_ "embed"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"chervilyard.example/chervilstand/engine"
	"chervilyard.example/chervilstand/service"
	"chervilyard.example/chervilyard/instance"
	"chervilyard.example/yard/environment"
	"chervilyard.example/yard/key"
	"chervilyard.example/yard/memory"
	"chervilyard.example/yard/setting"
	"chervilyard.example/yard/store"
)

const (
	stopTime   = 3500 * time.Millisecond
	readyTime  = 20 * time.Second
	readyStep  = 10 * time.Millisecond
	anyAddress = "127.0.0.1:0"
)

//go:embed sample.ini
var sample string

// Centres are the data centres of the sample document, one instance in each.
var Centres = []string{"budapest-a", "debrecen-a", "pecs-a"}

// Options shape the run.
type Options struct {
	Listen string // of the first instance; the next ones take the following ports
	Store  string
	Log    hclog.Logger
	Engine engine.Options
	Drain  time.Duration // the longest graceful stop of an instance; 0 for the default
}

// Dev is a running environment.
type Dev struct {
	Store     *memory.Store
	Engines   map[string]*engine.Engine
	Booking   *service.Service
	Instances []*instance.Instance
	StoreURL  string

	options Options
	servers []*http.Server
	cancel  context.CancelFunc
}

// Start runs everything and returns when all instances are ready.
func Start(ctx context.Context, o Options) (*Dev, error) {
	ctx, cancel := context.WithCancel(ctx)
	d := &Dev{Store: &memory.Store{}, Booking: &service.Service{}, Engines: make(map[string]*engine.Engine), options: o, cancel: cancel}
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Dev) start(ctx context.Context) error {
	address, err := d.serve(d.options.Store, d.Store)
	if err != nil {
		return err
	}
	d.StoreURL = "http://" + address
	text, err := d.startTargets()
	if err != nil {
		return err
	}
	env := environment.Environment{Store: store.New(d.StoreURL), Name: "dev", Author: "dev"}
	if _, err := env.Apply(ctx, time.Now(), text, "sample", 0); err != nil {
		return err
	}
	for n := range Centres {
		if err := d.StartInstance(ctx, n); err != nil {
			return err
		}
	}
	return d.await(ctx)
}

// startTargets starts the targets of the sample and returns the document with
// their addresses and the keys' hashes.
func (d *Dev) startTargets() (string, error) {
	booking, err := d.serve(anyAddress, d.Booking)
	if err != nil {
		return "", err
	}
	pairs := []string{"@booking@", booking}
	for _, region := range []string{"budapest", "debrecen", "pecs"} {
		for n := 1; n <= 2; n++ {
			name := fmt.Sprintf("%s-%d", region, n)
			e := engine.New(d.options.Engine)
			address, err := d.serve(anyAddress, e)
			if err != nil {
				return "", err
			}
			d.Engines[name] = e
			pairs = append(pairs, "@"+name+"@", address)
		}
	}
	for _, k := range []string{"dev-key", "small-key", "home-key"} {
		pairs = append(pairs, "@"+k+"@", key.Hash(k))
	}
	return strings.NewReplacer(pairs...).Replace(sample), nil
}

func (d *Dev) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("dev: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: stopTime}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }() // ends when Close closes the server
	return l.Addr().String(), nil
}

// StartInstance starts the instance of the n-th data centre, anew where it ran
// before.
func (d *Dev) StartInstance(ctx context.Context, n int) error {
	callers, err := d.address(n)
	if err != nil {
		return err
	}
	s, err := setting.Parse("dev", d.settings(n, callers))
	if err != nil {
		return err
	}
	i, err := instance.Start(ctx, s, d.options.Log.With("instance", Centres[n]))
	if err != nil {
		return err
	}
	if n == len(d.Instances) {
		d.Instances = append(d.Instances, i)
	} else {
		d.Instances[n] = i
	}
	return nil
}

// address returns the callers' address of the n-th instance.
func (d *Dev) address(n int) (string, error) {
	if n < len(d.Instances) {
		return d.Instances[n].Callers(), nil
	}
	host, port, err := net.SplitHostPort(d.options.Listen)
	if err != nil {
		return "", fmt.Errorf("dev: listen: %w", err)
	}
	first, err := strconv.Atoi(port)
	if err != nil {
		return "", fmt.Errorf("dev: listen: %w", err)
	}
	if first > 0 {
		first += n
	}
	return net.JoinHostPort(host, strconv.Itoa(first)), nil
}

func (d *Dev) settings(n int, callers string) string {
	peers, operators := anyAddress, anyAddress
	if n < len(d.Instances) {
		peers, operators = d.Instances[n].Peers(), d.Instances[n].Operators()
	}
	limits := ""
	if d.options.Drain > 0 {
		limits = fmt.Sprintf("[limits]\ndrain = %s\n", d.options.Drain)
	}
	return fmt.Sprintf(
		"[instance]\nenvironment = dev\ncentre = %s\ncallers = %s\npeers = %s\noperators = %s\n[store]\nurl = %s\n[tls]\ninsecure = yes\n%s",
		Centres[n], callers, peers, operators, d.StoreURL, limits)
}

// await returns when every instance is ready and knows that each holds its seat.
func (d *Dev) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for !d.ready() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("dev: not ready in %v", readyTime)
		case <-time.After(readyStep):
		}
	}
	return nil
}

func (d *Dev) ready() bool {
	for _, i := range d.Instances {
		s := i.Status()
		if s.Ready != "yes" || s.Members < len(d.Instances) || s.Seated < len(d.Instances) {
			return false
		}
	}
	return true
}

// Stop stops all instances gracefully at once, and then the rest.
func (d *Dev) Stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTime)
	defer cancel()
	ended := make(chan struct{})
	for _, i := range d.Instances {
		go func() {
			i.Stop(ctx)
			ended <- struct{}{}
		}()
	}
	for range d.Instances {
		<-ended
	}
	d.Close()
}

// Close ends everything at once.
func (d *Dev) Close() {
	d.cancel()
	for _, s := range d.servers {
		_ = s.Close() // it may be closed already
	}
}
