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

	CallerAddr  string // address for callers, IP:PORT
	PeerAddr    string // address for heartbeats and other calls of peers, IP:PORT
	ForwardAddr string // address for forwarded requests, IP:PORT

	Seeds []string // peer addresses of some other instances; may be outdated

	DrainTimeout         time.Duration // from SIGTERM to the end of the process
	DirectoryTTL         time.Duration // how long callers may cache an answer of the directory
	TargetReportInterval time.Duration // interval at which targets report to the store
	MemoryLimitBytes     int64         // memory limit of the process in bytes; 0 means no limit
	MaxDescriptors       int           // open file descriptors of the process, without those of files; 0 means no limit
	Capacity             int64         // of the processor, in thousandths of a core; 0 means unknown

	RetryLimits       retry.Limits
	ColdRateFactor    float64 // the fleet may send this multiple of a cold target's rate
	ColdExtraRequests float64 // requests per second allowed beyond that
}
