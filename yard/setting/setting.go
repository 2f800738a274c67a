// Package setting parses the start-up settings of an instance: its addresses, its
// data centre, the store, the certificates for connections between instances, and
// its limits.
package setting

import (
	"time"

	"chervilyard.example/yard/form"
)

// Settings are the validated settings of one instance.
type Settings struct {
	environment string
	centre      string
	callers     string // IP:PORT
	peers       string // IP:PORT
	operators   string // IP:PORT
	store       string
	seeds       []string
	tls         TLS
	limits      Limits
	level       string // info, debug, warn or error
}

// TLS names the PEM files for mutual TLS between instances. Insecure disables TLS
// and is meant only for development; the file names are empty then.
type TLS struct {
	Cert     string
	Key      string
	CA       string
	Insecure bool
}

// Limits bound the resources of an instance that callers can use.
type Limits struct {
	Header  int           // maximum size of a request header, in bytes
	Body    int           // maximum size of a request body, in bytes
	Read    time.Duration // timeout for receiving a request
	Write   time.Duration // timeout for each write of a response to the caller
	Idle    time.Duration // timeout of an idle connection
	Calls   int           // maximum number of concurrent requests
	Queue   int           // maximum number of requests of one customer that wait for a target
	Outcome int           // maximum size of a response that is stored for an idempotency key, in bytes
	Drain   time.Duration // timeout of a graceful shutdown
}

// Parse parses and validates settings. The name identifies the text in errors. A
// non-nil error is a fault.List of all faults in the text.
func Parse(name, text string) (Settings, error) {
	f := form.Parse(name, text)
	s := readSettings(f)
	if err := f.Close(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

func readSettings(f *form.Form) Settings {
	instance := f.Section("instance")
	s := Settings{
		environment: instance.Need("environment"),
		centre:      instance.Need("centre"),
		callers:     instance.Address("callers", ""),
		peers:       instance.Address("peers", ""),
		operators:   instance.Address("operators", ""),
		level:       instance.Choice("log", "info", "debug", "warn", "error"),
	}
	for _, key := range []string{"callers", "peers", "operators"} {
		if instance.Text(key, "") == "" {
			instance.Fault(key, "a value is needed")
		}
	}
	storeSection := f.Section("store")
	s.store = storeSection.Need("url")
	s.seeds = f.Section("peers").List("seeds")
	s.tls = readTLS(f.Section("tls"))
	s.limits = readLimits(f.Section("limits"))
	return s
}

func readTLS(s *form.Section) TLS {
	t := TLS{
		Cert:     s.Text("cert", ""),
		Key:      s.Text("key", ""),
		CA:       s.Text("ca", ""),
		Insecure: s.Bool("insecure", false),
	}
	complete := t.Cert != "" && t.Key != "" && t.CA != ""
	if !complete && !t.Insecure {
		s.Fault("", "cert, key and ca are needed, since peers authenticate each other by certificates")
	}
	if t.Insecure && (t.Cert != "" || t.Key != "" || t.CA != "") {
		s.Fault("insecure", "contradicts cert, key and ca")
	}
	return t
}

func readLimits(s *form.Section) Limits {
	return Limits{
		Header:  s.Int("header", 16<<10, 1<<10, 1<<20),
		Body:    s.Int("body", 8<<20, 1<<10, 1<<30),
		Read:    s.Duration("read", 10*time.Second, 100*time.Millisecond, 10*time.Minute),
		Write:   s.Duration("write", 10*time.Second, 100*time.Millisecond, 10*time.Minute),
		Idle:    s.Duration("idle", 2*time.Minute, time.Second, time.Hour),
		Calls:   s.Int("calls", 4096, 1, 1<<20),
		Queue:   s.Int("queue", 256, 1, 1<<20),
		Outcome: s.Int("outcome", 4<<10, 0, 64<<10),
		Drain:   s.Duration("drain", time.Minute, time.Second, time.Hour),
	}
}

// Environment returns the name of the environment.
func (s Settings) Environment() string { return s.environment }

// Centre returns the name of the instance's data centre.
func (s Settings) Centre() string { return s.centre }

// Callers returns the listen address for callers, as IP:PORT.
func (s Settings) Callers() string { return s.callers }

// Peers returns the listen address for other instances, as IP:PORT.
func (s Settings) Peers() string { return s.peers }

// Operators returns the listen address for metrics, health checks and other
// requests of operators, as IP:PORT.
func (s Settings) Operators() string { return s.operators }

// Store returns the URL of the platform's key-value store.
func (s Settings) Store() string { return s.store }

// Seeds returns the addresses of instances that the instance contacts first to
// learn of the others.
func (s Settings) Seeds() []string { return s.seeds }

// TLS returns the certificate files for connections between instances.
func (s Settings) TLS() TLS { return s.tls }

// Limits returns the limits on the use of resources by callers.
func (s Settings) Limits() Limits { return s.limits }

// Level returns the minimum level of log lines: info, debug, warn or error.
func (s Settings) Level() string { return s.level }
