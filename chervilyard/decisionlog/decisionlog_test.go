package decisionlog_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"chervilyard.example/chervilyard/decisionlog"
)

// TestBurstIsBounded checks that a burst of decisions is cut off at the limit of lines
// per second, that every decision left out is counted, and that the next second starts
// with a new count.
func TestBurstIsBounded(t *testing.T) {
	var out bytes.Buffer
	log := decisionlog.NewWithHistory(hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true}), 10)
	now := time.Unix(1_700_000_000, 0)
	const burst = 5000
	for range burst {
		log.Record(decisionlog.Decision{Time: now, Kind: "request", Choice: "x", Reason: "y"})
	}
	log.Record(decisionlog.Decision{Time: now.Add(time.Second), Kind: "request", Choice: "later", Reason: "y"})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	<-log.Run(ctx)
	lines := strings.Count(out.String(), "\n")
	if lines > 2001 || int64(lines)+log.Dropped() != burst+1 {
		t.Errorf("%d lines written and %d decisions dropped, of %d in total", lines, log.Dropped(), burst+1)
	}
	if !strings.Contains(out.String(), "later") {
		t.Error("the decision of the next second was not written")
	}
}

// TestRecordNeverBlocks checks that Record returns at once when the queue is full
// because nothing writes the log.
func TestRecordNeverBlocks(t *testing.T) {
	log := decisionlog.NewWithHistory(hclog.NewNullLogger(), 10)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20000 { // Run is not called, so nothing empties the queue
			log.Record(decisionlog.Decision{})
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Record blocked on a full queue")
	}
	if log.Dropped() == 0 {
		t.Error("no decision was counted as dropped")
	}
}
