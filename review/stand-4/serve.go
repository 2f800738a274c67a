package main

import "net/http"

// StoreServer is one address of the store.
type StoreServer struct {
	Address string
	server  *http.Server
}

// Serve serves the store on an address until Close is called.
func (s *Store) Serve(address string) (*StoreServer, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s.Handler()}
	go func() { _ = server.Serve(l) }()
	return &StoreServer{Address: l.Addr().String(), server: server}, nil
}

// Close closes the address and its connections.
func (s *StoreServer) Close() { _ = s.server.Close() }
