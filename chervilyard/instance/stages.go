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

// The way of a request, from top to bottom:
//
//	accept       bound the body, give an identifier          package accept
//	authenticate key to customer; the key goes no further    package authenticate
//	resolve      route, residency, deadline, tokens          package resolve
//	admit        reserve tokens, gathered where needed       package admit
//	once         claim a call that may not be repeated       package once
//	dispatch     queue, choose, send, relay, retry           package dispatch
//	settle       charge what was used, log the outcome       package settle
//
// A forwarded call comes in at the peer port and takes resolve and dispatch;
// the instance that forwarded it does the rest.

const maxHeldAnswer = 1 << 20 // bytes of a claimed call's answer kept until it is recorded

// ServeHTTP takes one caller's request through the stages.
func (i *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if i.leaving.Load() {
		// Callers move on with their next call; an idle connection that is
		// closed under them could cut one.
		w.Header().Set("Connection", "close")
	}
	c, err := i.accept.Run(i.now(), w, r)
	defer i.recoverCall(c)
	if err == nil {
		err = i.serve(r.Context(), c, w)
	}
	i.finish(c, w, err)
}

// serve takes an accepted call to its answer, or returns why there is none.
func (i *Instance) serve(ctx context.Context, c *call.Call, w http.ResponseWriter) error {
	if !i.enter() {
		return refusal.NotRun(http.StatusServiceUnavailable, "busy", "the instance holds as many calls as it may").After(time.Second)
	}
	defer i.leave()
	if i.closed() {
		return refusal.NotRun(http.StatusServiceUnavailable, "leaving", "the instance is stopping; ask /locate for another").After(100 * time.Millisecond)
	}
	if err := i.authenticate.Run(c); err != nil {
		return err
	}
	ctx, end := i.sessions.Begin(ctx, c.KeyHash)
	defer end()
	if err := i.stillKnown(c); err != nil {
		return err
	}
	if answered, err := i.inform(c, w); answered || err != nil {
		return err
	}
	if err := i.resolve.Run(c); err != nil {
		return err
	}
	if err := i.admit.Run(ctx, c); err != nil {
		return err
	}
	if done, err := i.once.Run(ctx, c); done || err != nil {
		return err
	}
	if c.Claim.ID != "" {
		return i.dispatchClaimed(ctx, c)
	}
	return i.dispatch.Run(ctx, c)
}

// stillKnown refuses a call whose key was withdrawn after it was looked up and
// before the call was registered under it.
func (i *Instance) stillKnown(c *call.Call) error {
	if c.KeyHash == "" {
		return nil
	}
	if _, ok := i.keeper.Document().Key(c.KeyHash); ok {
		return nil
	}
	return refusal.NotRun(http.StatusUnauthorized, "key_unknown", "the key is not known or was withdrawn")
}

// dispatchClaimed keeps the answer of a claimed call back until its outcome is
// recorded. The claim is closed whatever becomes of the call.
func (i *Instance) dispatchClaimed(ctx context.Context, c *call.Call) error {
	answer := c.Answer
	held := sink.Hold(answer, maxHeldAnswer)
	c.Answer = &held.Sink
	err := i.dispatch.Run(ctx, c)
	c.Answer = answer
	if err != nil || !c.Result.Whole {
		i.once.Close(c)
		return err
	}
	i.once.Record(c, held)
	if err := held.Release(); err != nil {
		return &refusal.Refusal{Status: 499, Code: "caller_gone", Message: "the caller did not take the answer", Run: refusal.RunYes, Cause: err}
	}
	return nil
}

// Forwarded takes a call that another instance sent on.
func (i *Instance) Forwarded(ctx context.Context, c *call.Call) error {
	if !i.enter() {
		return refusal.NotRun(http.StatusServiceUnavailable, "busy", "the instance holds as many calls as it may").After(time.Second)
	}
	defer i.leave()
	deadline := c.Deadline
	if err := i.resolve.Run(c); err != nil {
		return err
	}
	c.Deadline = deadline
	err := i.dispatch.Run(ctx, c)
	i.forwarded(c, err)
	return err
}

// inform answers the requests that ask about the gateway itself.
func (i *Instance) inform(c *call.Call, w http.ResponseWriter) (bool, error) {
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
		return true, i.models(c, w)
	}
	q, err := url.ParseQuery(c.Query)
	if err != nil {
		return false, refusal.NotRun(http.StatusBadRequest, "query_malformed", "the query cannot be read").Because(err)
	}
	c.Answer.Extend()
	name := cmp.Or(q.Get("model"), q.Get("service"))
	answer, err := i.finder.Find(i.now(), c.Document, c.Customer.Name(), name)
	if err != nil {
		return false, err
	}
	locate.Serve(w, answer)
	return true, nil
}

type model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

type models struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

func (i *Instance) models(c *call.Call, w http.ResponseWriter) error {
	list := models{Object: "list", Data: []model{}}
	for _, r := range c.Document.Routes() {
		if r.Kind() == route.KindModel {
			list.Data = append(list.Data, model{ID: r.Name(), Object: "model", Owner: c.Document.Name()})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(list)
}

// finish settles the call and tells the caller why it was not served.
func (i *Instance) finish(c *call.Call, w http.ResponseWriter, err error) {
	var r *refusal.Refusal
	if err != nil && !errors.As(err, &r) {
		r = refusal.Unknown(http.StatusInternalServerError, "internal", "the instance failed").Because(err)
	}
	started := c.Answer.Started()
	c.Answer.Extend()
	if r != nil && !started {
		r.WriteTo(w)
	}
	if c.Path != "/locate" && c.Path != "/v1/models" || r != nil {
		i.settle.Run(c, r)
	}
	if r != nil && started {
		i.breakOff(c, r)
	}
}

// breakOff ends an answer that was begun so that nobody takes it for whole: an
// event stream gets an error event, and the connection is cut.
func (i *Instance) breakOff(c *call.Call, r *refusal.Refusal) {
	if c.Stream && r.Code != "caller_gone" {
		_, _ = c.Answer.Write(fmt.Appendf(nil, "data: %s\n\n", r.JSON())) // the connection is cut anyhow
	}
	panic(http.ErrAbortHandler)
}

// recoverCall ends one request whose handling panicked, and no other.
func (i *Instance) recoverCall(c *call.Call) {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler { //nolint:errorlint // net/http compares this value by identity too
		panic(v)
	}
	i.log.Error("request panicked", "request", c.ID, "panic", fmt.Sprint(v))
	if c.Reservation.Customer != "" {
		i.link.Deliver(i.lender.Settle(i.now(), c.Reservation, c.Tokens))
	}
	panic(http.ErrAbortHandler)
}
