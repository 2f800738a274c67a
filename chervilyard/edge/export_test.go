package edge

// Kill ends the instance at once, as a loss of power would: nobody is told, and
// what is open is cut.
func (e *Edge) Kill() {
	e.cancel()
	_ = e.web.Close() // what it reports is of no use to a dead instance
	_ = e.hop.Close() // the same
	e.rpc.Stop()
	e.pool.Close()
	for _, ended := range e.ends {
		<-ended
	}
}
