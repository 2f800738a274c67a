package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"chervilyard.example/chervilctl/coldrate"
	"chervilyard.example/chervilctl/limitrate"
	"chervilyard.example/chervilctl/trace"
	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/chervilyard/instance"
	"chervilyard.example/yard/environment"
	"chervilyard.example/yard/head"
	"chervilyard.example/yard/store"
)

const requestTimeout = 3 * time.Second // for one request to an instance

// instanceAddress is the value that an instance stores to publish its listen
// address for operators.
type instanceAddress struct {
	Operators string `json:"operators"` // host and port
	Centre    string `json:"centre"`
}

// instances returns the published addresses of the environment's instances. It
// skips values that cannot be decoded, and returns an error if no address is left.
func instances(ctx context.Context) ([]instanceAddress, error) {
	values, err := store.New(global.Store).List(ctx, environment.InstancePrefix(global.Env))
	if err != nil {
		return nil, err
	}
	var addresses []instanceAddress
	for _, v := range values {
		var a instanceAddress
		if json.Unmarshal(v.Data, &a) == nil && a.Operators != "" {
			addresses = append(addresses, a)
		}
	}
	if len(addresses) == 0 {
		return nil, fmt.Errorf("no instance of %q has published its address", global.Env)
	}
	return addresses, nil
}

// fetchJSON requests a path of an instance's operator endpoint and decodes the
// JSON response into v.
func fetchJSON(ctx context.Context, a instanceAddress, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.Operators+path, nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if err := head.Check(res.StatusCode, res.Header); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return errors.New(res.Status)
	}
	return json.NewDecoder(res.Body).Decode(v)
}

// fetchAll requests a path from all instances concurrently and calls handle with
// each result, one at a time. It returns when all instances have answered or
// failed.
func fetchAll[T any](ctx context.Context, addresses []instanceAddress, path string, handle func(a instanceAddress, v T, err error)) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, a := range addresses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var v T
			err := fetchJSON(ctx, a, path, &v)
			mu.Lock()
			defer mu.Unlock()
			handle(a, v, err)
		}()
	}
	wg.Wait()
}

type statusCommand struct {
	JSON bool `long:"json" description:"print JSON"`
}

type instanceStatus struct {
	instance.Status
	Error string `json:"error,omitempty"`
}

// Execute prints the state of each instance. Instances that cannot be reached are
// listed with the error.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := commandContext()
	defer cancel()
	addresses, err := instances(ctx)
	if err != nil {
		return err
	}
	var statuses []instanceStatus
	fetchAll(ctx, addresses, "/status", func(a instanceAddress, s instance.Status, err error) {
		status := instanceStatus{Status: s}
		if err != nil {
			status.Address, status.Centre, status.Error = a.Operators, a.Centre, err.Error()
		}
		statuses = append(statuses, status)
	})
	slices.SortFunc(statuses, func(a, b instanceStatus) int {
		return cmp.Or(cmp.Compare(a.Centre, b.Centre), cmp.Compare(a.Address, b.Address))
	})
	if c.JSON || global.JSON {
		return printJSON(statuses)
	}
	fmt.Printf("%-22s %-14s %8s %-10s %-8s %7s %5s %7s\n", "INSTANCE", "CENTRE", "REVISION", "SEATS", "READY", "MEMBERS", "OPEN", "WAITING")
	for _, s := range statuses {
		if s.Error != "" {
			fmt.Printf("%-22s %-14s unreachable: %s\n", s.Address, s.Centre, s.Error)
			continue
		}
		fmt.Printf("%-22s %-14s %8d %-10s %-8s %7d %5d %7d\n", s.Address, s.Centre, s.Revision, fmt.Sprint(s.Seats), s.ReadyReason, s.Members, s.OpenCalls, s.QueuedCalls)
	}
	return nil
}

type explainCommand struct {
	Logs []string `long:"log" value-name:"FILE" description:"read the decisions from this log of instances instead of querying the instances; - for standard input; may be given more than once"`
	Args struct {
		Request string `positional-arg-name:"REQUEST" description:"value of the X-Request-Id header of the response"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the decisions on a request in chronological order, from the memory
// of the instances or from their logs.
func (c *explainCommand) Execute([]string) error {
	if len(c.Logs) > 0 {
		return c.fromLogs()
	}
	ctx, cancel := commandContext()
	defer cancel()
	addresses, err := instances(ctx)
	if err != nil {
		return err
	}
	var decisions []decisionlog.Decision
	unanswered := 0
	fetchAll(ctx, addresses, "/explain?request="+url.QueryEscape(c.Args.Request), func(_ instanceAddress, found []decisionlog.Decision, err error) {
		if err != nil {
			unanswered++
			return
		}
		decisions = append(decisions, found...)
	})
	if len(decisions) == 0 {
		return fmt.Errorf("no instance has a decision on request %s in memory (%d of %d instances did not answer)", c.Args.Request, unanswered, len(addresses))
	}
	slices.SortFunc(decisions, func(a, b decisionlog.Decision) int { return a.Time.Compare(b.Time) })
	if global.JSON {
		return printJSON(decisions)
	}
	for _, d := range decisions {
		fmt.Println(formatDecision(d))
	}
	return nil
}

// fromLogs prints the decisions on a request from the logs, together with the
// state that each instance had logged before.
func (c *explainCommand) fromLogs() error {
	var logs trace.Logs
	for _, name := range c.Logs {
		text, err := readInput(name)
		if err != nil {
			return err
		}
		if err := logs.Read(filepath.Base(name), strings.NewReader(text)); err != nil {
			return err
		}
	}
	entries := logs.ForRequest(c.Args.Request)
	if len(entries) == 0 {
		return fmt.Errorf("the logs contain no decision on request %s (%d lines are not decisions)", c.Args.Request, logs.SkippedLines())
	}
	if global.JSON {
		return printJSON(entries)
	}
	for _, e := range entries {
		fmt.Println(e.Log + " " + formatDecision(e.Decision))
	}
	return nil
}

type coldCommand struct {
	Logs     []string      `long:"log" required:"yes" value-name:"FILE" description:"log of instances; - for standard input; may be given more than once"`
	ColdTime time.Duration `long:"cold-time" default:"3s" description:"how long a target is cold after its start"`
	Most     int           `long:"most" default:"20" value-name:"N" description:"print at most N targets"`
}

// Execute prints the cold targets with the most requests sent within one second, and the
// targets with a limit with the most sent within four, relative to what the limits allow.
func (c *coldCommand) Execute([]string) error {
	var logs trace.Logs
	for _, name := range c.Logs {
		text, err := readInput(name)
		if err != nil {
			return err
		}
		if err := logs.Read(filepath.Base(name), strings.NewReader(text)); err != nil {
			return err
		}
	}
	var counter coldrate.Counter
	var limited limitrate.Counter
	for _, e := range logs.Entries() {
		counter.Add(e)
		limited.Add(e)
	}
	peaks, limitPeaks := counter.Peaks(c.ColdTime), limited.Peaks()
	if global.JSON {
		return printJSON(struct {
			Cold    []coldrate.Peak
			Limited []limitrate.Peak
		}{peaks, limitPeaks})
	}
	fmt.Printf("%-20s %-14s %8s %13s\n", "TARGET", "FROM", "REQUESTS", "TAKEN AS COLD")
	for _, p := range peaks[:min(c.Most, len(peaks))] {
		fmt.Printf("%-20s %-14s %8d %13d\n", p.Target, p.Start.UTC().Format("15:04:05.000"), p.Requests, p.ByCold)
	}
	fmt.Printf("\n%-20s %-14s %8s %8s %8s\n", "TARGET", "FROM", "LIMIT", "IN 4 S", "ALLOWED")
	for _, p := range limitPeaks[:min(c.Most, len(limitPeaks))] {
		fmt.Printf("%-20s %-14s %8.1f %8d %8.1f\n", p.Target, p.Start.UTC().Format("15:04:05.000"), p.Limit, p.Requests, p.Allowed)
	}
	return nil
}

// formatDecision returns a decision as one line of text. Fields that are empty or
// 0 are left out.
func formatDecision(d decisionlog.Decision) string {
	s := fmt.Sprintf("%s %-9s %s: %s", d.Time.Format("15:04:05.000"), d.Kind, d.Choice, d.Reason)
	for _, field := range []struct{ name, value string }{
		{"customer", d.Customer}, {"route", d.Route}, {"target", d.Target}, {"centre", d.Centre}, {"run", d.Run},
	} {
		if field.value != "" {
			s += ", " + field.name + " " + field.value
		}
	}
	if d.Tokens != 0 {
		s += fmt.Sprintf(", %.0f tokens", d.Tokens)
	}
	if d.DurationMS != 0 {
		s += fmt.Sprintf(", %.1f ms", d.DurationMS)
	}
	return s
}
