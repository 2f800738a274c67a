package gateway

import (
	"net/http"
	"time"

	"chervilyard.example/yard/refusal"
)

const codeLeaving = "leaving"

// leavingRetryAfter is the retry delay of a request that a stopping instance refuses.
// The caller finds another instance in the directory.
const leavingRetryAfter = 10 * time.Millisecond

// statusConnectionEnded is logged for requests whose connection has ended.
const statusConnectionEnded = 499

// codeCutOff is the code of a request that a stopping instance cut off. Like
// codeCallerGone it is logged but never sent.
const codeCutOff = "cut_off"

// checkCutoff refuses a request that may last longer than a stopping instance runs. It
// could end without an answer after a target has run it.
func (g *Gateway) checkCutoff(x *exchange) error {
	cutoff, shuttingDown := g.Cutoff()
	if !shuttingDown || x.deadline.Add(deadlineGrace).Before(cutoff) {
		return nil
	}
	return refusal.NotRun(http.StatusServiceUnavailable, codeLeaving, "the instance is stopping").WithRetryAfter(leavingRetryAfter)
}

// cutOffOrGone returns the refusal of a request whose connection has ended: because the
// instance has cut it off, or else because the caller disconnected.
func (g *Gateway) cutOffOrGone(now time.Time, x *exchange, cause error) error {
	r := &refusal.Refusal{Status: statusConnectionEnded, Code: codeCallerGone, Message: "the caller left", Run: refusal.RunUnknown, Cause: cause}
	if x.possibleRuns == 0 {
		r.Run = refusal.RunNo
	}
	if cutoff, shuttingDown := g.Cutoff(); shuttingDown && !now.Before(cutoff) {
		r.Code, r.Message = codeCutOff, "the instance stopped"
	}
	return r
}

// untilCutoff formats how long after the arrival of the request a stopping instance
// cuts off open requests. It returns "" if the instance is not stopping.
func (g *Gateway) untilCutoff(x *exchange) string {
	cutoff, shuttingDown := g.Cutoff()
	if !shuttingDown {
		return ""
	}
	return "cutoff=" + cutoff.Sub(x.arrived).Round(time.Millisecond).String()
}

// closeAfterResponse makes a stopping instance close the connection after the response
// whose header is about to be written.
func (g *Gateway) closeAfterResponse(x *exchange) {
	if _, shuttingDown := g.Cutoff(); shuttingDown {
		x.w.Header().Set("Connection", "close")
	}
}
