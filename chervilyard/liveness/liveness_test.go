package liveness_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"chervilyard.example/chervilyard/liveness"
)

var (
	errRefused = &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	errSilent  = errors.New("no answer")
)

// conn is a connection that is only closed.
type conn struct{ net.Conn }

func (conn) Close() error { return nil }

// Guards against taking a target for ended whose connections were only reset, or that is only
// silent.
func TestEnded(t *testing.T) {
	for _, test := range []struct {
		name  string
		dials []error // results of the attempts, the last one of all later ones
		want  bool
	}{
		{"refuses", []error{errRefused}, true},
		{"accepts", []error{nil}, false},
		{"accepts for a moment", []error{nil, errRefused}, true},
		{"is silent", []error{errSilent}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := 0
				c := liveness.Checker{Dial: func(context.Context, string) (net.Conn, error) {
					err := test.dials[min(n, len(test.dials)-1)]
					n++
					return conn{}, err
				}}
				if got := c.Ended(t.Context(), time.Now(), "a"); got != test.want {
					t.Errorf("ended: %v, want %v", got, test.want)
				}
			})
		})
	}
}

// Guards against a connection for each of the requests that broke off together, and against an
// answer that is used for the next run of the target.
func TestSharedCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int64
		c := liveness.Checker{Dial: func(context.Context, string) (net.Conn, error) {
			dials.Add(1)
			time.Sleep(10 * time.Millisecond)
			return nil, errRefused
		}}
		var running sync.WaitGroup
		for range 20 {
			running.Go(func() {
				if !c.Ended(t.Context(), time.Now(), "a") {
					t.Error("a target that refuses connections has not ended")
				}
			})
		}
		running.Wait()
		if n := dials.Load(); n != 1 {
			t.Errorf("%d connection attempts for one end", n)
		}
		time.Sleep(1100 * time.Millisecond)
		c.Ended(t.Context(), time.Now(), "a")
		if n := dials.Load(); n != 2 {
			t.Errorf("%d connection attempts for two ends", n)
		}
	})
}
