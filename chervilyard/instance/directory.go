package instance

import (
	"context"
	"encoding/json"
	mathrand "math/rand/v2"
	"strings"
	"time"

	"chervilyard.example/yard/environment"
)

// published is what an instance writes of itself for operators' commands.
type published struct {
	Peers     string `json:"peers"`
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Centre    string `json:"centre"`
	Run       int64  `json:"run"`
}

func (i *Instance) publishKey() string {
	return environment.InstancePrefix(i.settings.Environment()) + strings.ReplaceAll(i.Peers(), ":", "_")
}

// publish writes the instance's addresses to the store once, and finds others'
// addresses there to start from.
func (i *Instance) publish(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		wait := time.NewTimer(0)
		defer wait.Stop()
		for done := false; !done; {
			select {
			case <-ctx.Done():
				return
			case <-wait.C:
			}
			done = i.publishOnce(ctx)
			wait.Reset(mathrand.N(publishTime / 20))
		}
	}()
	return ended
}

func (i *Instance) publishOnce(ctx context.Context) bool {
	own, err := json.Marshal(published{
		Peers: i.Peers(), Callers: i.Callers(), Operators: i.Operators(), Centre: i.settings.Centre(), Run: i.run,
	})
	if err != nil {
		return true
	}
	v, err := i.store.Get(ctx, i.publishKey())
	if err != nil {
		return false
	}
	if _, err := i.store.Put(ctx, i.publishKey(), own, v.Revision); err != nil {
		return false
	}
	others, err := i.store.List(ctx, environment.InstancePrefix(i.settings.Environment()))
	if err != nil {
		return false
	}
	for _, o := range others {
		var p published
		if json.Unmarshal(o.Data, &p) != nil {
			continue
		}
		i.greet(ctx, p.Peers)
	}
	return true
}

// greet exchanges rolls with an instance found in the store.
func (i *Instance) greet(ctx context.Context, address string) {
	if _, known := i.roster.Heard(i.now(), address); known || address == i.Peers() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if back, err := i.link.Sync(ctx, address, i.beats.Roll(i.now())); err == nil {
		i.beats.TakeRoll(i.now(), back)
	}
}

// unpublish removes the instance's addresses from the store.
func (i *Instance) unpublish(ctx context.Context) {
	v, err := i.store.Get(ctx, i.publishKey())
	if err != nil || v.Revision == 0 {
		return
	}
	if err := i.store.Delete(ctx, i.publishKey(), v.Revision); err != nil {
		i.log.Warn("address not removed from the store", "error", err.Error())
	}
}
