package instance

import (
	"context"
	"encoding/json"
	mathrand "math/rand/v2"
	"strings"
	"time"

	"chervilyard.example/yard/environment"
)

// directoryEntry is an instance's entry in the store. Operators' commands and
// starting instances use it to find instances. Peers, Callers and Operators are
// the addresses, as host and port, on which the instance serves each of them.
type directoryEntry struct {
	Peers     string `json:"peers"`
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Centre    string `json:"centre"`
	Run       int64  `json:"run"`
}

// directoryKey returns the key of the instance's directory entry.
func (i *Instance) directoryKey() string {
	return environment.InstancePrefix(i.settings.Environment()) + strings.ReplaceAll(i.PeerAddr(), ":", "_")
}

// publish starts a goroutine that writes the instance's directory entry to the
// store and exchanges member lists with the instances that it finds there. It
// retries until it succeeds or ctx is cancelled. The returned channel is closed
// when the goroutine ends.
func (i *Instance) publish(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		retry := time.NewTimer(0)
		defer retry.Stop()
		for done := false; !done; {
			select {
			case <-ctx.Done():
				return
			case <-retry.C:
			}
			done = i.publishOnce(ctx)
			retry.Reset(mathrand.N(publishRetryPeriod / 20))
		}
	}()
	return ended
}

// publishOnce makes one attempt to publish. It returns false if the attempt has
// to be repeated.
func (i *Instance) publishOnce(ctx context.Context) bool {
	entry, err := json.Marshal(directoryEntry{
		Peers: i.PeerAddr(), Callers: i.CallerAddr(), Operators: i.OperatorAddr(), Centre: i.settings.Centre(), Run: i.runID,
	})
	if err != nil {
		return true
	}
	v, err := i.store.Get(ctx, i.directoryKey())
	if err != nil {
		return false
	}
	if _, err := i.store.Put(ctx, i.directoryKey(), entry, v.Revision); err != nil {
		return false
	}
	entries, err := i.store.List(ctx, environment.InstancePrefix(i.settings.Environment()))
	if err != nil {
		return false
	}
	for _, e := range entries {
		var other directoryEntry
		if json.Unmarshal(e.Data, &other) != nil {
			continue
		}
		i.syncMembers(ctx, other.Peers)
	}
	return true
}

// syncMembers exchanges member lists with the instance at the peer address,
// unless that is this instance or a known member.
func (i *Instance) syncMembers(ctx context.Context, address string) {
	if _, known := i.memberList.SinceHeartbeat(i.now(), address); known || address == i.PeerAddr() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if reply, err := i.peers.ExchangeMembers(ctx, address, i.heartbeats.MemberList(i.now(), "")); err == nil {
		i.heartbeats.ReceiveMemberList(i.now(), reply)
	}
}

// unpublish removes the instance's directory entry from the store.
func (i *Instance) unpublish(ctx context.Context) {
	v, err := i.store.Get(ctx, i.directoryKey())
	if err != nil || v.Revision == 0 {
		return
	}
	if err := i.store.Delete(ctx, i.directoryKey(), v.Revision); err != nil {
		i.log.Warn("address entry not removed from the store", "error", err.Error())
	}
}
