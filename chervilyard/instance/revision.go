package instance

import (
	"context"
	"fmt"
	"time"

	"chervilyard.example/chervilyard/config"
	"chervilyard.example/yard/document"
	"chervilyard.example/yard/envelope"
	"chervilyard.example/yard/environment"
	"chervilyard.example/yard/peer"
)

func (i *Instance) newKeeper() *config.Keeper {
	return &config.Keeper{
		Key:     environment.DocumentKey(i.settings.Environment()),
		Name:    i.settings.Environment(),
		Watch:   i.store.Watch,
		Reader:  i.isReader,
		Now:     i.now,
		Log:     i.log,
		Changed: i.changed,
		Spread:  i.spread,
	}
}

// isReader reports whether this instance is among the first of its data centre
// by address, which read the store for the others.
func (i *Instance) isReader(now time.Time) bool {
	before := 0
	for _, m := range i.roster.Mates(now) {
		if m.GetAddress() < i.Peers() && !m.GetLeaving() {
			before++
		}
	}
	return before < readers
}

// changed puts what follows from a new document in force.
func (i *Instance) changed(now time.Time, d *document.Document) {
	region := d.Region(i.settings.Centre())
	i.region.Store(&region)
	i.lender.Apply(now, d)
}

// spread ends what runs under withdrawn keys and tells peers.
func (i *Instance) spread() {
	d := i.keeper.Document()
	ended := i.sessions.Enforce(func(hash string) bool {
		_, ok := d.Key(hash)
		return ok
	})
	if ended > 0 {
		i.log.Info("decision", "kind", "key", "choice", "end streams", "reason", "key withdrawn", "streams", ended)
	}
	i.beats.Kick()
}

// fetchOnce fetches from a peer unless a fetch is under way.
func (i *Instance) fetchOnce(from string) {
	if !i.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer i.fetching.Store(false)
		i.fetch(from)
	}()
}

// fetch takes a newer document over from a peer.
func (i *Instance) fetch(from string) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	a, err := i.link.Fetch(ctx, from, i.keeper.Revision())
	if err != nil || len(a.GetEnvelope()) == 0 {
		return
	}
	e, err := i.unpack(a)
	if err != nil {
		i.log.Warn("peer sent an unreadable document", "peer", from, "error", err.Error())
		return
	}
	now := i.now()
	i.keeper.Accept(now, e, from)
	i.keeper.Confirm(now, e.Revision, time.Duration(a.GetConfirmed())*time.Millisecond)
}

// unpack returns the envelope of an answer, with its text put together from the
// one that runs here where only the change came.
func (i *Instance) unpack(a *peer.Accepted) (envelope.Envelope, error) {
	e, err := envelope.Decode(a.GetEnvelope())
	if err != nil || a.GetBase() == 0 {
		return e, err
	}
	own := i.keeper.Envelope()
	if own.Revision != a.GetBase() {
		return envelope.Envelope{}, fmt.Errorf("instance: the change is of revision %d, not %d", a.GetBase(), own.Revision)
	}
	d := envelope.Delta{Prefix: int(a.GetPrefix()), Suffix: int(a.GetSuffix()), Middle: a.GetMiddle()}
	e.Text, err = d.Apply(own.Text)
	return e, err
}

func (i *Instance) serveFetch(now time.Time, above int64) *peer.Accepted {
	e := i.keeper.Envelope()
	if e.Revision <= above {
		return &peer.Accepted{}
	}
	a := &peer.Accepted{Confirmed: i.keeper.Age(now).Milliseconds()}
	if old := i.keeper.Before(); old.Revision == above && above > 0 {
		d := e.Change(old.Text)
		a.Base, a.Prefix, a.Suffix, a.Middle = above, int64(d.Prefix), int64(d.Suffix), d.Middle
		e.Text = ""
	}
	data, err := e.Encode()
	if err != nil {
		return &peer.Accepted{}
	}
	a.Envelope = data
	return a
}
