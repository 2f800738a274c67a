// Package service describes groups of interchangeable targets.
package service

// Service is a group of interchangeable targets. The zero value has no name and no
// limits.
type Service struct {
	name          string
	coldPerSecond float64
	slots         int
	memoryTokens  int
	healthPath    string
}

// New returns a service without limits.
func New(name string) Service { return Service{name: name} }

// WithColdLimit returns a copy of the service with a limit on the requests per
// second to a cold target; 0 is no limit.
func (s Service) WithColdLimit(perSecond float64) Service {
	s.coldPerSecond = perSecond
	return s
}

// WithEngine returns a copy of the service whose targets are model engines with a
// batch size of slots requests and memory for memoryTokens tokens.
func (s Service) WithEngine(slots, memoryTokens int) Service {
	s.slots, s.memoryTokens = slots, memoryTokens
	return s
}

// WithHealthPath returns a copy of the service with the health check path of its
// targets.
func (s Service) WithHealthPath(path string) Service {
	s.healthPath = path
	return s
}

// HealthPath returns the health check path of the targets, "" if there is none.
func (s Service) HealthPath() string { return s.healthPath }

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// ColdRequestsPerSecond returns the maximum number of requests per second to a cold
// target; 0 is no limit.
func (s Service) ColdRequestsPerSecond() float64 { return s.coldPerSecond }

// Slots returns the batch size of the model engines, 0 for a plain service.
func (s Service) Slots() int { return s.slots }

// MemoryTokens returns how many tokens fit into the memory of a model engine, 0 for
// a plain service.
func (s Service) MemoryTokens() int { return s.memoryTokens }
