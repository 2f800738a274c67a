package edge

import "chervilyard.example/yard/fairshare"

// Kill stops the instance abruptly, as a power failure would: the other instances are not
// notified and open requests are cut off.
func (e *Edge) Kill() {
	e.cancel()
	_ = e.callerServer.Close()  // the error does not matter to a killed instance
	_ = e.forwardServer.Close() // as above
	e.peerServer.Stop()
	e.pool.Close()
	for _, done := range e.taskDone {
		<-done
	}
}

// Shares returns the tokens of customers that the instance counts.
func (e *Edge) Shares() *fairshare.Ledger { return &e.shares.ledger }
