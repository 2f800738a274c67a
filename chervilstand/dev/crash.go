package dev

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// restartDelay is how long after a crash an engine is back.
const restartDelay = 1500 * time.Millisecond

// crashServer is an HTTP server that can crash. It is then back at its address after
// restartDelay. It is safe for concurrent use.
type crashServer struct {
	handler http.Handler

	mu      sync.Mutex
	address string
	server  *http.Server // nil while it is down
	timer   *time.Timer  // of the next start
	closed  bool
}

// start listens on the address and returns the one in use.
func (s *crashServer) start(address string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return "", http.ErrServerClosed
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("dev: %w", err)
	}
	s.address = l.Addr().String()
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: stopTimeout}
	s.server = server
	go func() { _ = server.Serve(l) }() // returns when the server is closed
	return s.address, nil
}

// crash closes the listener and all connections.
func (s *crashServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return // another request has crashed it
	}
	_ = s.server.Close() // the connections end in any case
	s.server = nil
	s.timer = time.AfterFunc(restartDelay, func() { _, _ = s.start(s.address) })
}

func (s *crashServer) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.timer != nil {
		s.timer.Stop()
	}
	if s.server != nil {
		_ = s.server.Close()
	}
}
