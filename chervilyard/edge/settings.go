package edge

import (
	"time"

	"chervilyard.example/yard/retry"
)

// Settings are the settings of one instance, including the limits that it shares with
// all other instances.
type Settings struct {
	Name   string
	Region string
	Centre string

	Callers string // address for callers, IP:PORT
	Peers   string // address for heartbeats, IP:PORT
	Forward string // address for forwarded requests, IP:PORT

	Seeds []string // peer addresses of some other instances; may be outdated

	Drain     time.Duration // from SIGTERM to the end of the process
	Answer    time.Duration // how long callers may cache an answer of the directory
	Heartbeat time.Duration // interval at which targets report to the store
	Memory    int64         // memory limit of the process in bytes; 0 means no limit

	Retries   retry.Limits
	ColdOver  float64 // the fleet may send this multiple of a cold target's rate
	ColdFixed float64 // requests per second allowed beyond that
}
