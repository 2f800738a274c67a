// Package setting is what one instance is told at its start: its addresses,
// its data centre, the store, the peers' certificates and its limits.
package setting

import (
	"time"

	"chervilyard.example/yard/form"
)

// Settings are one instance's checked settings.
type Settings struct {
	environment string
	centre      string
	callers     string
	peers       string
	operators   string
	store       string
	seeds       []string
	tls         TLS
	limits      Limits
	level       string
}

// TLS names the peers' certificate files; Insecure stands for none, which only
// the development run may choose.
type TLS struct {
	Cert     string
	Key      string
	CA       string
	Insecure bool
}

// Limits bound what callers can make the instance hold.
type Limits struct {
	Header  int           // bytes of a request's header
	Body    int           // bytes of a request's body
	Read    time.Duration // to receive a request
	Write   time.Duration // for a caller to take the next piece of an answer
	Idle    time.Duration // of an idle connection
	Calls   int           // requests at once
	Queue   int           // requests that wait for a target, for each customer
	Outcome int           // bytes of an answer that a claim records
	Drain   time.Duration // the longest graceful stop
}

// Parse reads and checks settings, which faults call name. The error is a
// fault.List of every fault.
func Parse(name, text string) (Settings, error) {
	f := form.Parse(name, text)
	s := read(f)
	if err := f.Close(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

func read(f *form.Form) Settings {
	in := f.Section("instance")
	s := Settings{
		environment: in.Need("environment"),
		centre:      in.Need("centre"),
		callers:     in.Address("callers", ""),
		peers:       in.Address("peers", ""),
		operators:   in.Address("operators", ""),
		level:       in.Choice("log", "info", "debug", "warn", "error"),
	}
	for _, key := range []string{"callers", "peers", "operators"} {
		if in.Text(key, "") == "" {
			in.Fault(key, "a value is needed")
		}
	}
	st := f.Section("store")
	s.store = st.Need("url")
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
		s.Fault("", "cert, key and ca are needed; without them peers cannot prove themselves")
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

// Centre returns the data centre that the instance stands in.
func (s Settings) Centre() string { return s.centre }

// Callers returns the address that callers reach.
func (s Settings) Callers() string { return s.callers }

// Peers returns the address that other instances reach.
func (s Settings) Peers() string { return s.peers }

// Operators returns the address of metrics and health.
func (s Settings) Operators() string { return s.operators }

// Store returns the URL of the platform's store.
func (s Settings) Store() string { return s.store }

// Seeds returns peer addresses to start from.
func (s Settings) Seeds() []string { return s.seeds }

// TLS returns the peers' certificates.
func (s Settings) TLS() TLS { return s.tls }

// Limits returns the bounds on what callers can make the instance hold.
func (s Settings) Limits() Limits { return s.limits }

// Level returns the least level of log lines.
func (s Settings) Level() string { return s.level }
