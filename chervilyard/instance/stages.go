package instance

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/locate"
	"chervilyard.example/chervilyard/sink"
	"chervilyard.example/yard/refusal"
	"chervilyard.example/yard/route"
)

// A request passes through these stages in order, each in the package of the
// same name:
//
//	accept       reads the body up to a limit, assigns an identifier
//	authenticate finds the customer by key; the key is not passed on
//	resolve      determines route, residency, deadline and tokens
//	admit        reserves tokens, borrowing from peers if needed
//	idempotency  claims a non-idempotent call by its idempotency key
//	dispatch     queues, chooses a target, sends, relays, retries
//	settle       charges the tokens used, logs the outcome
//
// A forwarded call arrives on the peer port and passes through resolve and
// dispatch only; the instance that forwarded it runs the other stages.

// maxBufferedAnswerBytes limits the body of a claimed call's answer that is
// buffered until the outcome is recorded. A larger answer is sent on at once.
const maxBufferedAnswerBytes = 1 << 20

// ServeHTTP processes one request of a caller.
func (i *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if i.leaving.Load() {
		// Callers open a new connection for their next call. Closing idle
		// connections instead could cut a call that is just being sent.
		w.Header().Set("Connection", "close")
	}
	c, err := i.accept.Run(i.now(), w, r)
	defer i.recoverCall(c)
	if c.ReleaseBody != nil {
		defer c.ReleaseBody()
	}
	if err == nil {
		err = i.serveCall(r.Context(), c, w)
	}
	i.finish(c, w, err)
}

// serveCall runs the stages between accept and settle. It returns the reason if
// the call was not answered or its answer was cut off. An error other than a
// *refusal.Refusal is a fault of the instance.
func (i *Instance) serveCall(ctx context.Context, c *call.Call, w http.ResponseWriter) error {
	if !i.acquireSlot() {
		return refusal.NotRun(http.StatusServiceUnavailable, "busy", "the instance holds as many calls as it may").WithRetryAfter(time.Second)
	}
	defer i.releaseSlot()
	if i.refusesCalls() {
		return leavingRefusal()
	}
	if err := i.authenticate.Run(c); err != nil {
		return err
	}
	ctx, end := i.sessions.Register(ctx, c.KeyHash)
	defer end()
	if err := i.checkKeyValid(c); err != nil {
		return err
	}
	if answered, err := i.serveGatewayInfo(c, w); answered || err != nil {
		return err
	}
	if err := i.resolve.Run(c); err != nil {
		return err
	}
	if err := i.checkCutoff(c); err != nil {
		return err
	}
	if err := i.admit.Run(ctx, c); err != nil {
		return err
	}
	if done, err := i.idempotency.Run(ctx, c); done || err != nil {
		return err
	}
	if c.Claim.ID != "" {
		return i.dispatchClaimed(ctx, c)
	}
	return i.dispatch.Run(ctx, c)
}

func leavingRefusal() error {
	return refusal.NotRun(http.StatusServiceUnavailable, "leaving", "the instance is stopping; ask /locate for another").WithRetryAfter(100 * time.Millisecond)
}

// checkCutoff refuses a call that may last longer than a stopping instance runs. It
// could end without an answer after a target has run it.
func (i *Instance) checkCutoff(c *call.Call) error {
	if cutoff := i.cutoff.Load(); cutoff != nil && c.Deadline.After(*cutoff) {
		return leavingRefusal()
	}
	return nil
}

// checkKeyValid refuses a call whose key was withdrawn after the lookup of the
// key and before the registration of the call. RevokeInvalid misses such a call.
func (i *Instance) checkKeyValid(c *call.Call) error {
	if c.KeyHash == "" {
		return nil
	}
	if _, ok := i.keeper.Document().Key(c.KeyHash); ok {
		return nil
	}
	return refusal.NotRun(http.StatusUnauthorized, "key_unknown", "the key is not known or was withdrawn")
}

// dispatchClaimed dispatches a claimed call and buffers its answer until the
// outcome is recorded. If there is no complete answer, it closes the claim.
func (i *Instance) dispatchClaimed(ctx context.Context, c *call.Call) error {
	answer := c.Sink
	buffered := sink.NewBuffered(answer, maxBufferedAnswerBytes)
	c.Sink = &buffered.Sink
	err := i.dispatch.Run(ctx, c)
	c.Sink = answer
	if err != nil || !c.Result.Complete {
		i.idempotency.CloseClaim(c)
		return err
	}
	i.idempotency.RecordOutcome(c, buffered)
	if err := buffered.Release(); err != nil {
		return &refusal.Refusal{Status: 499, Code: "caller_gone", Message: "the caller did not take the answer", Run: refusal.RunYes, Cause: err}
	}
	return nil
}

// ServeForwarded processes a call that another instance forwarded. It keeps the
// deadline that the other instance set.
func (i *Instance) ServeForwarded(ctx context.Context, c *call.Call) error {
	if !i.acquireSlot() {
		return refusal.NotRun(http.StatusServiceUnavailable, "busy", "the instance holds as many calls as it may").WithRetryAfter(time.Second)
	}
	defer i.releaseSlot()
	deadline := c.Deadline
	if err := i.resolve.Run(c); err != nil {
		return err
	}
	c.Deadline = deadline
	if err := i.checkCutoff(c); err != nil {
		return err
	}
	err := i.dispatch.Run(ctx, c)
	i.logForwarded(c, err)
	return err
}

// serveGatewayInfo answers requests for information about the gateway itself,
// and reports whether it answered the call.
func (i *Instance) serveGatewayInfo(c *call.Call, w http.ResponseWriter) (bool, error) {
	if c.Path != "/locate" && c.Path != "/v1/models" {
		return false, nil
	}
	if c.KeyHash == "" {
		return false, refusal.NotRun(http.StatusUnauthorized, "key_missing", "send a key as Authorization: Bearer KEY")
	}
	if c.Method != http.MethodGet {
		return false, refusal.NotRun(http.StatusMethodNotAllowed, "method", "use GET")
	}
	if c.Path == "/v1/models" {
		return true, i.writeModels(c, w)
	}
	q, err := url.ParseQuery(c.Query)
	if err != nil {
		return false, refusal.NotRun(http.StatusBadRequest, "query_malformed", "the query cannot be read").WithCause(err)
	}
	c.Sink.ExtendDeadline()
	name := cmp.Or(q.Get("model"), q.Get("service"))
	answer, err := i.locator.Find(i.now(), c.Document, c.Customer.Name(), name)
	if err != nil {
		return false, err
	}
	locate.WriteAnswer(w, answer)
	return true, nil
}

// model is one entry of GET /v1/models.
type model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

// models is the body of GET /v1/models.
type models struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

// writeModels writes the list of the document's model routes.
func (i *Instance) writeModels(c *call.Call, w http.ResponseWriter) error {
	list := models{Object: "list", Data: []model{}}
	for _, r := range c.Document.Routes() {
		if r.Kind() == route.KindModel {
			list.Data = append(list.Data, model{ID: r.Name(), Object: "model", Owner: c.Document.Name()})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(list)
}

// finish settles the call, unless it was an answered request for information
// about the gateway. If err is not nil, it sends the refusal, or aborts an
// answer that was already started.
func (i *Instance) finish(c *call.Call, w http.ResponseWriter, err error) {
	var r *refusal.Refusal
	if err != nil && !errors.As(err, &r) {
		r = refusal.Unknown(http.StatusInternalServerError, "internal", "the instance failed").WithCause(err)
	}
	started := c.Sink.Started()
	c.Sink.ExtendDeadline()
	if r != nil && !started {
		r.WriteResponse(w)
	}
	if c.Path != "/locate" && c.Path != "/v1/models" || r != nil {
		i.settle.Run(c, r)
	}
	if r != nil && started {
		i.abortAnswer(c, r)
	}
}

// abortAnswer ends a started answer so that the caller cannot mistake it for a
// complete one: an event stream gets an error event, and the connection is cut.
func (i *Instance) abortAnswer(c *call.Call, r *refusal.Refusal) {
	if c.Stream && r.Code != "caller_gone" {
		_, _ = c.Sink.Write(fmt.Appendf(nil, "data: %s\n\n", r.JSON())) // the connection is cut in any case
	}
	panic(http.ErrAbortHandler)
}

// recoverCall confines a panic to the request that caused it. It logs the panic,
// charges all tokens that the call reserved, and cuts the connection.
func (i *Instance) recoverCall(c *call.Call) {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler { //nolint:errorlint // net/http also compares this value by identity
		panic(v)
	}
	i.log.Error("request panicked", "request", c.ID, "panic", fmt.Sprint(v))
	if c.Reservation.Customer != "" {
		i.peers.SendLoans(i.lender.Settle(i.now(), c.Reservation, c.MaxTokens))
	}
	panic(http.ErrAbortHandler)
}
