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
		DocumentKey:    environment.DocumentKey(i.settings.Environment()),
		Environment:    i.settings.Environment(),
		Watch:          i.store.Watch,
		IsReader:       i.isReader,
		Now:            i.now,
		Log:            i.log,
		BeforeActivate: i.applyDocument,
		AfterActivate:  i.announceDocument,
	}
}

// isReader reports whether this instance is one of the storeReaders instances
// that read the store on behalf of their data centre: those with the lowest
// addresses.
func (i *Instance) isReader(now time.Time) bool {
	lower := 0
	for _, m := range i.memberList.LiveInCentre(now) {
		if m.GetAddress() < i.PeerAddr() && !m.GetLeaving() {
			lower++
		}
	}
	return lower < storeReaders
}

// applyDocument updates the region and the quotas before a new document becomes
// active.
func (i *Instance) applyDocument(now time.Time, d *document.Document) {
	region := d.Region(i.settings.Centre())
	i.region.Store(&region)
	i.lender.Apply(now, d)
}

// announceDocument ends the calls whose keys the new document withdraws, and
// sends heartbeats at once so that peers fetch the new revision.
func (i *Instance) announceDocument() {
	d := i.keeper.Document()
	ended := i.sessions.RevokeInvalid(func(hash string) bool {
		_, ok := d.Key(hash)
		return ok
	})
	if ended > 0 {
		i.log.Info("decision", "kind", "key", "choice", "end streams", "reason", "key withdrawn", "streams", ended)
	}
	i.heartbeats.SendNow()
}

// startFetch fetches a newer document from a peer in the background, unless
// another fetch is in progress.
func (i *Instance) startFetch(from string) {
	if !i.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer i.fetching.Store(false)
		i.fetch(from)
	}()
}

// fetch requests a newer document from a peer and activates it.
func (i *Instance) fetch(from string) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	a, err := i.peers.FetchDocument(ctx, from, i.keeper.Revision())
	if err != nil || len(a.GetEnvelope()) == 0 {
		return
	}
	e, err := i.decodeFetched(a)
	if err != nil {
		i.log.Warn("peer sent an unreadable document", "peer", from, "error", err.Error())
		return
	}
	now := i.now()
	i.keeper.Activate(now, e, from)
	i.keeper.Confirm(now, e.Revision, time.Duration(a.GetConfirmed())*time.Millisecond)
}

// decodeFetched returns the envelope of a fetched document. If the peer sent
// only a delta, the text is rebuilt from this instance's active document.
func (i *Instance) decodeFetched(a *peer.Accepted) (envelope.Envelope, error) {
	e, err := envelope.Decode(a.GetEnvelope())
	if err != nil || a.GetBase() == 0 {
		return e, err
	}
	current := i.keeper.Envelope()
	if current.Revision != a.GetBase() {
		return envelope.Envelope{}, fmt.Errorf("instance: delta is based on revision %d, but revision %d is in force", a.GetBase(), current.Revision)
	}
	d := envelope.Delta{Prefix: int(a.GetPrefix()), Suffix: int(a.GetSuffix()), Middle: a.GetMiddle()}
	e.Text, err = d.Apply(current.Text)
	return e, err
}

// handleFetch answers a peer's request for a document newer than the known
// revision, which the peer has. The answer is empty if there is none, and holds
// only a delta if the known revision is the previous one.
func (i *Instance) handleFetch(now time.Time, known int64) *peer.Accepted {
	e := i.keeper.Envelope()
	if e.Revision <= known {
		return &peer.Accepted{}
	}
	a := &peer.Accepted{Confirmed: i.keeper.SinceConfirmed(now).Milliseconds()}
	if old := i.keeper.PreviousEnvelope(); old.Revision == known && known > 0 {
		d := e.DeltaFrom(old.Text)
		a.Base, a.Prefix, a.Suffix, a.Middle = known, int64(d.Prefix), int64(d.Suffix), d.Middle
		e.Text = ""
	}
	data, err := e.Encode()
	if err != nil {
		return &peer.Accepted{}
	}
	a.Envelope = data
	return a
}
