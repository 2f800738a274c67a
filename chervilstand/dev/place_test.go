package dev_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"chervilyard.example/chervilstand/dev"
	"chervilyard.example/chervilstand/engine"
	"chervilyard.example/chervilyard/placereport"
)

func askPlace(t *testing.T, d *dev.Environment, q placereport.Query) (int, placereport.Report) {
	t.Helper()
	body, err := json.Marshal(q)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+d.Instances[0].OperatorAddr()+placereport.Path, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	var r placereport.Report
	_ = json.Unmarshal(text, &r) // an error has none
	return resp.StatusCode, r
}

// Guards against explanations that run calls, take tokens or load targets, and against ones
// without the reason why a target is not used.
func TestPlace(t *testing.T) {
	d := start(t)
	c := call{path: "/v1/chat/completions", key: "dev-key", body: `{"model":"assistant","max_tokens":4,"messages":[{"role":"user","content":"hello"}]}`}
	saved := func(c call) []byte {
		var b bytes.Buffer
		_ = c.request(t.Context(), d).Write(&b) // a buffer takes all
		return b.Bytes()
	}
	eventually(t, "calls are answered", func() bool {
		status, _ := c.do(t, d)
		return status == http.StatusOK
	})
	type state struct{ requests, open, load int64 }
	observe := func() state {
		status := d.Instances[0].Status()
		s := state{open: status.OpenCalls}
		for _, e := range d.Engines {
			s.requests += e.Counts().Requests
		}
		for _, target := range status.Targets {
			s.load += int64(target.Load)
		}
		return s
	}
	eventually(t, "the calls have ended", func() bool { s := observe(); return s.open == 0 && s.load == 0 })
	before := observe()
	var least float64
	for range 20 {
		status, r := askPlace(t, d, placereport.Query{Raw: saved(c)})
		if status != http.StatusOK || r.Target == "" || !strings.HasPrefix(r.Target, "budapest") || r.Route != "assistant" || len(r.Candidates) == 0 || len(r.Remotes) == 0 ||
			r.Remotes[0].HeardAge < 0 || r.ConfigurationAge < 0 || r.Candidates[0].KnownAge >= 0 || r.Quota == nil || r.Quota.Level < least {
			t.Fatalf("%d %+v", status, r)
		}
		least = r.Quota.Level // the bucket only fills
	}
	if after := observe(); before != after {
		t.Errorf("%v, then %v", before, after)
	}
	unknown := c
	unknown.key = "other"
	for status, q := range map[int]placereport.Query{
		http.StatusUnauthorized: {Raw: saved(unknown)}, http.StatusNotFound: {Raw: saved(c), Path: "/nowhere"}, http.StatusBadRequest: {Raw: saved(c), Parts: []placereport.Part{{ID: "a"}}},
	} {
		if got, r := askPlace(t, d, q); got != status {
			t.Errorf("%d, want %d: %+v", got, status, r)
		}
	}
	for _, name := range []string{"budapest-1", "budapest-2"} {
		d.Engines[name].SetFaults(engine.Faults{Refuse: true}, 0)
	}
	eventually(t, "the call would be forwarded", func() bool {
		c.do(t, d)
		_, r := askPlace(t, d, placereport.Query{Raw: saved(c)})
		return r.ForwardRegion != "" && r.ForwardRegion != "budapest" && r.Candidates[0].Ejected
	})
}
