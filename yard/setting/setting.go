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
	callers     string   // IP:PORT
	peers       string   // IP:PORT
	operators   string   // IP:PORT
	store       string   // URL
	seeds       []string // addresses of peers
	tls         TLS
	limits      Limits
	level       string // info, debug, warn or error
}

// TLS names the PEM files for mutual TLS between instances. Insecure disables TLS
// and is meant only for development; the file names are empty then.
type TLS struct {
	CertFile string
	KeyFile  string
	CAFile   string
	Insecure bool
}

// Limits bound the resources of an instance that callers can use.
type Limits struct {
	MaxHeaderBytes         int           // maximum size of a request header, in bytes
	MaxBodyBytes           int           // maximum size of a request body, in bytes
	MemoryBytes            int           // memory of the process, in bytes; 0 for no limit
	ReadTimeout            time.Duration // timeout for receiving a request header, and again for the body
	WriteTimeout           time.Duration // timeout for each write of a response to the caller
	IdleTimeout            time.Duration // timeout of an idle connection
	MaxConcurrentRequests  int           // maximum number of concurrent requests
	MaxQueuedPerCustomer   int           // maximum number of requests of one customer that wait for a target
	MaxStoredResponseBytes int           // maximum size of a response that is stored for an idempotency key, in bytes
	ShutdownTimeout        time.Duration // timeout of a graceful shutdown
	MaxDescriptors         int           // maximum number of open file descriptors; 0 means no limit
}

// Parse parses and validates settings. The name identifies the text in errors. A
// non-nil error is a fault.List of all faults in the text.
func Parse(name, text string) (Settings, error) {
	f := form.Parse(name, text)
	s := readSettings(f)
	if err := f.Err(); err != nil {
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
			instance.AddFault(key, "a value is needed")
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
		CertFile: s.Text("cert", ""),
		KeyFile:  s.Text("key", ""),
		CAFile:   s.Text("ca", ""),
		Insecure: s.Bool("insecure", false),
	}
	complete := t.CertFile != "" && t.KeyFile != "" && t.CAFile != ""
	if !complete && !t.Insecure {
		s.AddFault("", "cert, key and ca are needed, since peers authenticate each other by certificates")
	}
	if t.Insecure && (t.CertFile != "" || t.KeyFile != "" || t.CAFile != "") {
		s.AddFault("insecure", "contradicts cert, key and ca")
	}
	return t
}

func readLimits(s *form.Section) Limits {
	return Limits{
		MaxHeaderBytes:         s.Int("header", 16<<10, 1<<10, 1<<20),
		MaxBodyBytes:           s.Int("body", 8<<20, 1<<10, 1<<30),
		MemoryBytes:            s.Int("memory", 0, 0, 1<<40),
		ReadTimeout:            s.Duration("read", 10*time.Second, 100*time.Millisecond, 10*time.Minute),
		WriteTimeout:           s.Duration("write", 10*time.Second, 100*time.Millisecond, 10*time.Minute),
		IdleTimeout:            s.Duration("idle", 2*time.Minute, time.Second, time.Hour),
		MaxConcurrentRequests:  s.Int("calls", 4096, 1, 1<<20),
		MaxQueuedPerCustomer:   s.Int("queue", 256, 1, 1<<20),
		MaxStoredResponseBytes: s.Int("outcome", 4<<10, 0, 64<<10),
		ShutdownTimeout:        s.Duration("drain", time.Minute, time.Second, time.Hour),
		MaxDescriptors:         s.Int("descriptors", 0, 0, 1<<20),
	}
}

// Environment returns the name of the environment.
func (s Settings) Environment() string { return s.environment }

// Centre returns the name of the instance's data centre.
func (s Settings) Centre() string { return s.centre }

// CallerAddr returns the listen address for callers, as IP:PORT.
func (s Settings) CallerAddr() string { return s.callers }

// PeerAddr returns the listen address for other instances, as IP:PORT.
func (s Settings) PeerAddr() string { return s.peers }

// OperatorAddr returns the listen address for metrics, health checks and other
// requests of operators, as IP:PORT.
func (s Settings) OperatorAddr() string { return s.operators }

// StoreURL returns the URL of the platform's key-value store.
func (s Settings) StoreURL() string { return s.store }

// Seeds returns the peer addresses of the instances that this instance contacts
// first to discover the others.
func (s Settings) Seeds() []string { return s.seeds }

// TLS returns the certificate files for connections between instances.
func (s Settings) TLS() TLS { return s.tls }

// Limits returns the limits on the resources that callers can use.
func (s Settings) Limits() Limits { return s.limits }

// LogLevel returns the minimum level of log lines: info, debug, warn or error.
func (s Settings) LogLevel() string { return s.level }
