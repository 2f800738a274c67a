// Package dev runs a development environment in one process: a store, targets,
// and one gateway instance in each of three regions, configured by the sample
// document.
package dev

import (
	"cmp"
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
	"chervilyard.example/yard/memstore"
	"chervilyard.example/yard/setting"
	"chervilyard.example/yard/store"
)

const (
	stopTimeout       = 3500 * time.Millisecond // also bounds reading a request header
	readyTimeout      = 20 * time.Second
	readyPollInterval = 10 * time.Millisecond
	loopbackHost      = "127.0.0.1" // of environments whose options name no host
)

//go:embed sample.ini
var sampleDocument string

// Centres lists the data centres of the sample document. Each runs one instance.
var Centres = []string{"budapest-a", "debrecen-a", "pecs-a"}

// Options configures an environment.
type Options struct {
	Listen       string // host:port of the first instance; the others use the ports that follow, or each a free port if the port is 0
	Store        string // listen address of the store
	Log          hclog.Logger
	Engine       engine.Options
	DrainTimeout time.Duration // maximum duration of an instance's graceful stop; 0 for the default
}

// Environment is a running environment. Its methods must not be called
// concurrently.
type Environment struct {
	Store     *memstore.Store
	Engines   map[string]*engine.Engine // by target name
	Booking   *service.Service
	Instances []*instance.Instance // in the order of Centres
	StoreURL  string

	options      Options
	servers      []*http.Server
	crashServers []*crashServer
	cancel       context.CancelFunc
}

// Start runs the store, the targets and the instances, and returns when all
// instances are ready. The background tasks of the instances end with ctx. If Start
// fails, it calls Close on what it has started.
func Start(ctx context.Context, o Options) (*Environment, error) {
	ctx, cancel := context.WithCancel(ctx)
	d := &Environment{Store: &memstore.Store{}, Booking: &service.Service{}, Engines: make(map[string]*engine.Engine), options: o, cancel: cancel}
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Environment) start(ctx context.Context) error {
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
	return d.awaitReady(ctx)
}

// startTargets starts the targets of the sample document and returns the document
// with their addresses and the hashes of the API keys filled in.
func (d *Environment) startTargets() (string, error) {
	s := &crashServer{handler: d.Booking}
	d.Booking.OnCrash = s.crash
	d.crashServers = append(d.crashServers, s)
	booking, err := s.start(d.anyPort())
	if err != nil {
		return "", err
	}
	replacements := []string{"@booking@", booking}
	for _, region := range []string{"budapest", "debrecen", "pecs"} {
		for n := 1; n <= 2; n++ {
			name := fmt.Sprintf("%s-%d", region, n)
			e, address, err := d.startEngine()
			if err != nil {
				return "", err
			}
			d.Engines[name] = e
			replacements = append(replacements, "@"+name+"@", address)
		}
	}
	for _, apiKey := range []string{"dev-key", "small-key", "home-key"} {
		replacements = append(replacements, "@"+apiKey+"@", key.HashSecret(apiKey))
	}
	return strings.NewReplacer(replacements...).Replace(sampleDocument), nil
}

// anyPort returns the address of any free port of the host on which the instances listen.
func (d *Environment) anyPort() string {
	host, _, err := net.SplitHostPort(d.options.Listen)
	if err != nil { // it is reported when the first instance starts
		host = ""
	}
	return net.JoinHostPort(cmp.Or(host, loopbackHost), "0")
}

// startEngine starts an engine and returns the address on which it listens. If it
// crashes, it is back there after restartDelay.
func (d *Environment) startEngine() (*engine.Engine, string, error) {
	s := &crashServer{}
	o := d.options.Engine
	o.OnCrash = s.crash
	e := engine.New(o)
	s.handler = e
	d.crashServers = append(d.crashServers, s)
	address, err := s.start(d.anyPort())
	return e, address, err
}

// serve starts an HTTP server and returns the address on which it listens.
func (d *Environment) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("dev: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: stopTimeout}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }() // returns when Close closes the server
	return l.Addr().String(), nil
}

// StartInstance starts the instance of the n-th data centre, counted from 0. An
// instance that ran there before has to be stopped first; the new one uses its
// addresses. The background tasks of the instance end with ctx.
func (d *Environment) StartInstance(ctx context.Context, n int) error {
	callers, err := d.address(n)
	if err != nil {
		return err
	}
	s, err := setting.Parse("dev", d.settings(n, callers))
	if err != nil {
		return err
	}
	inst, err := instance.Start(ctx, s, d.options.Log.With("instance", Centres[n]))
	if err != nil {
		return err
	}
	if n == len(d.Instances) {
		d.Instances = append(d.Instances, inst)
	} else {
		d.Instances[n] = inst
	}
	return nil
}

// address returns the address on which the n-th instance listens for callers.
func (d *Environment) address(n int) (string, error) {
	if n < len(d.Instances) {
		return d.Instances[n].CallerAddr(), nil
	}
	host, port, err := net.SplitHostPort(d.options.Listen)
	if err != nil {
		return "", fmt.Errorf("dev: listen: %w", err)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return "", fmt.Errorf("dev: listen: %w", err)
	}
	if number > 0 {
		number += n
	}
	return net.JoinHostPort(host, strconv.Itoa(number)), nil
}

// settings returns the text of the settings file of the n-th instance.
func (d *Environment) settings(n int, callers string) string {
	peers, operators := d.anyPort(), d.anyPort()
	if n < len(d.Instances) {
		peers, operators = d.Instances[n].PeerAddr(), d.Instances[n].OperatorAddr()
	}
	limits := ""
	if d.options.DrainTimeout > 0 {
		limits = fmt.Sprintf("[limits]\ndrain = %s\n", d.options.DrainTimeout)
	}
	return fmt.Sprintf(
		"[instance]\nenvironment = dev\ncentre = %s\ncallers = %s\npeers = %s\noperators = %s\n[store]\nurl = %s\n[tls]\ninsecure = yes\n%s",
		Centres[n], callers, peers, operators, d.StoreURL, limits)
}

// awaitReady waits until every instance is ready and knows all instances as
// members that hold a seat. It returns an error after readyTimeout.
func (d *Environment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !d.ready() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("dev: not ready in %v", readyTimeout)
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

func (d *Environment) ready() bool {
	for _, inst := range d.Instances {
		s := inst.Status()
		if s.ReadyReason != "yes" || s.Members < len(d.Instances) || s.SeatedMembers < len(d.Instances) {
			return false
		}
	}
	return true
}

// Stop stops all instances gracefully, in parallel and within 3.5 s, and then
// closes the targets and the store.
func (d *Environment) Stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	stopped := make(chan struct{})
	for _, inst := range d.Instances {
		go func() {
			inst.Stop(ctx)
			stopped <- struct{}{}
		}()
	}
	for range d.Instances {
		<-stopped
	}
	d.Close()
}

// Close closes the targets and the store, and ends the background tasks of the
// instances that Start has started. It does not close the servers of the
// instances.
func (d *Environment) Close() {
	d.cancel()
	for _, s := range d.servers {
		_ = s.Close() // it may be closed already
	}
	for _, s := range d.crashServers {
		s.close()
	}
}
