package journal_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"chervilyard.example/chervilyard/journal"
)

// A burst of decisions is bounded in the log, and what is left out is counted.
func TestBurstIsBounded(t *testing.T) {
	var out bytes.Buffer
	j := journal.Keeping(hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true}), 10)
	now := time.Unix(1_700_000_000, 0)
	const noted = 5000
	for range noted {
		j.Note(journal.Decision{Time: now, Kind: "request", Choice: "x", Reason: "y"})
	}
	j.Note(journal.Decision{Time: now.Add(time.Second), Kind: "request", Choice: "later", Reason: "y"})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	<-j.Run(ctx)
	lines := strings.Count(out.String(), "\n")
	if lines > 2001 || int64(lines)+j.Shed() != noted+1 {
		t.Errorf("%d lines written and %d shed of %d", lines, j.Shed(), noted+1)
	}
	if !strings.Contains(out.String(), "later") {
		t.Error("the next second's decisions are not written")
	}
}

// Nobody waits for a log that cannot be written.
func TestNoteNeverBlocks(t *testing.T) {
	j := journal.Keeping(hclog.NewNullLogger(), 10)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20000 { // nothing takes them out
			j.Note(journal.Decision{})
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Note blocks")
	}
	if j.Shed() == 0 {
		t.Error("nothing was counted as shed")
	}
}
