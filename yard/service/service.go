// Package service describes a group of targets that do the same work.
package service

// Service is a group of targets that do the same work. The zero value has no
// limits and no name.
type Service struct {
	name     string
	coldPace float64
	slots    int
	memory   int
	health   string
}

// New returns a service.
func New(name string) Service { return Service{name: name} }

// WithCold returns the service with the requests a second that a cold target
// bears.
func (s Service) WithCold(perSecond float64) Service {
	s.coldPace = perSecond
	return s
}

// WithEngine returns the service as model engines that run a batch of slots
// requests and hold memory tokens.
func (s Service) WithEngine(slots, memory int) Service {
	s.slots, s.memory = slots, memory
	return s
}

// WithHealth returns the service with the path of its targets' health checks.
func (s Service) WithHealth(path string) Service {
	s.health = path
	return s
}

// Health returns the path of the targets' health checks, "" where there is none.
func (s Service) Health() string { return s.health }

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// ColdPace returns the requests a second that a cold target bears; 0 is no limit.
func (s Service) ColdPace() float64 { return s.coldPace }

// Slots returns the batch size of a model engine, 0 for other services.
func (s Service) Slots() int { return s.slots }

// Memory returns how many tokens a model engine holds, 0 for other services.
func (s Service) Memory() int { return s.memory }
