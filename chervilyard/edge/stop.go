package edge

import "time"

const (
	// lastPart of the drain time is left for closing.
	lastPart = 700 * time.Millisecond
	// stopStep is the pause between looks at the open requests.
	stopStep = 25 * time.Millisecond
	// answerSpare is added to the time that callers keep a directory's answer.
	answerSpare = 300 * time.Millisecond
	// longKept is how many times longer some callers keep it.
	longKept = 3
)

// Stop leaves the fleet and ends. Callers are sent elsewhere, what still comes
// is served, and open requests finish within the drain time.
func (e *Edge) Stop() {
	s := e.Settings()
	end := e.now().Add(s.Drain - lastPart)
	e.leaving.Store(true)
	e.note("instance", "leaving", "open requests: "+itoa(int64(e.gateway.Open())))
	e.beats.Beat(e.ctx)
	handover := e.now().Add(min(longKept*s.Answer+answerSpare, s.Drain/2))
	for e.now().Before(handover) {
		time.Sleep(stopStep)
	}
	// Shutdown would drop requests that it reads from now on without an answer.
	_ = e.front.Close() // the process ends
	e.web.SetKeepAlivesEnabled(false)
	for (e.gateway.Open() > 0 || e.callers.busy(e.now())) && e.now().Before(end) {
		time.Sleep(stopStep)
	}
	e.note("instance", "stopped", "requests cut: "+itoa(int64(e.gateway.Open())))
	e.cancel()
	_ = e.web.Close() // what is open at the end of the drain time is cut
	_ = e.hop.Close() // nothing is open there any more
	e.rpc.Stop()
	e.pool.Close()
	for _, ended := range e.ends {
		select {
		case <-ended:
		case <-time.After(lastPart / 4):
		}
	}
}
