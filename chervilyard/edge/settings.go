package edge

import (
	"time"

	"chervilyard.example/yard/retry"
)

// Settings are what one instance is told about itself and about the bounds
// that all instances keep.
type Settings struct {
	Name   string
	Region string
	Centre string

	Callers string // address for callers, IP:PORT
	Peers   string // address for heartbeats, IP:PORT
	Forward string // address for forwarded requests, IP:PORT

	Seeds []string // heartbeat addresses of some other instances; may be stale

	Drain     time.Duration // between SIGTERM and the end of the process
	Answer    time.Duration // how long callers keep an answer of the directory
	Heartbeat time.Duration // between two reports of a target to the store
	Memory    int64         // bytes that the process may take; 0 means no limit

	Retries   retry.Terms
	ColdOver  float64 // factor on a cold target's pace that is still borne
	ColdFixed float64 // requests in a second beyond it
}
