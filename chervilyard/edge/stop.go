package edge

import (
	"context"
	"time"
)

const (
	// shutdownReserve is the part of the drain timeout that is reserved for closing.
	// Servers, requests that were cut off and background tasks get closeTimeout of it.
	shutdownReserve = 700 * time.Millisecond
	closeTimeout    = 300 * time.Millisecond
	// drainPollInterval is the time between two checks for open requests.
	drainPollInterval = 25 * time.Millisecond
	// outcomePollInterval is the time between two checks for requests that were cut
	// off and have not logged their outcomes yet.
	outcomePollInterval = 5 * time.Millisecond
	// handoverMargin is added to the time for which callers may use a directory answer.
	handoverMargin = 300 * time.Millisecond
	// staleAnswerFactor is the multiple of DirectoryTTL for which some callers cache an
	// answer.
	staleAnswerFactor = 3
)

// Stop shuts the instance down gracefully. It notifies the other instances, serves
// requests until callers have had time to switch to other instances, and lets open
// requests finish within the drain timeout. From the start it refuses requests that may
// take longer. It returns after the servers have been closed.
func (e *Edge) Stop() {
	s := e.Settings()
	cutoff := e.now().Add(s.DrainTimeout - shutdownReserve)
	e.cutoff.Store(&cutoff)
	e.logDecision("instance", "leaving", "open requests: "+itoa(int64(e.gateway.InFlight())))
	e.gossiper.NotifyAll(e.ctx)
	handoverEnd := e.now().Add(min(staleAnswerFactor*s.DirectoryTTL+handoverMargin, s.DrainTimeout/2))
	for e.now().Before(handoverEnd) {
		time.Sleep(drainPollInterval)
	}
	_ = e.callerListener.Close() // the error does not matter, the process ends
	// Neither Shutdown nor SetKeepAlivesEnabled of http.Server is used: they close
	// connections on which a request is being read.
	for e.callerConns.CloseIdle(e.now()) > 0 && e.now().Before(cutoff) {
		time.Sleep(drainPollInterval)
	}
	// Other instances do not forward requests to this one any more.
	for e.forwardConns.CloseIdle(e.now()) > 0 && e.now().Before(cutoff) {
		time.Sleep(drainPollInterval)
	}
	e.logDecision("instance", "stopped", "requests cut: "+itoa(int64(e.gateway.InFlight())))
	e.close()
}

// close closes the servers, which cuts off open requests, and waits for closeTimeout at
// most until they and the background tasks have ended.
func (e *Edge) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	e.cancel()
	_ = e.callerServer.Close()  // the error does not matter, the process ends
	_ = e.forwardServer.Close() // as above
	peersStopped := make(chan struct{})
	go func() {
		defer close(peersStopped)
		e.peerServer.Stop()
	}()
	e.pool.Close()
	for _, done := range append(e.taskDone, peersStopped) {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
	for e.gateway.InFlight() > 0 && ctx.Err() == nil { // until the requests cut off have logged their outcomes
		time.Sleep(outcomePollInterval)
	}
}
