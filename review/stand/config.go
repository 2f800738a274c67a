package main

import (
	"net"
	"time"
)

const stable = 5 * time.Second // Bounds.StableMs

// Route is a route of the operator's configuration.
type Route struct {
	Name, Host, PathPrefix, Kind string
	TimeoutMs, GoalMs            float64
	Priority                     int
	Service                      string
	Attempts                     int
	Public, Sticky, Resumable    bool
	HomeRegions                  []string
}

// Tenant is a tenant of the operator's configuration.
type Tenant struct {
	Name        string
	ApiKeys     []string
	Priority    int
	Unit        string
	PlainTokens int
	RatePerS    int
	Burst       int
	HomeRegions []string
}

// Service is a service of the operator's configuration.
type Service struct {
	Name, HealthPath string
	MaxConns         int
	Protocol         string
	Tls              bool
	ColdS, ColdPerS  float64
	Engine           *EngineSpec `json:",omitempty"`
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct{ Slots, KvTokens int }

func plainService(name string) Service {
	return Service{Name: name, HealthPath: "/healthz", MaxConns: 110, Protocol: "h1"}
}

// Configuration is what the operator writes to op/config.
type Configuration struct {
	Version  int
	Routes   []Route
	Services []Service
	Limits   map[string]int
	Tenants  []Tenant
}

var limits = map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}

// startStore starts a store on a loopback address.
func startStore(ip string) (*Store, string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, "", err
	}
	s := NewStore()
	s.Serve(l)
	return s, l.Addr().String(), nil
}
