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

	"chervilyard.example/chervilctl/trail"
	"chervilyard.example/chervilyard/instance"
	"chervilyard.example/chervilyard/journal"
	"chervilyard.example/yard/environment"
	"chervilyard.example/yard/store"
)

const askTime = 3 * time.Second

// address is where an instance published that operators reach it.
type address struct {
	Operators string `json:"operators"`
	Centre    string `json:"centre"`
}

// instances returns the published addresses of the environment's instances.
func instances(ctx context.Context) ([]address, error) {
	values, err := store.New(global.Store).List(ctx, environment.InstancePrefix(global.Env))
	if err != nil {
		return nil, err
	}
	var list []address
	for _, v := range values {
		var a address
		if json.Unmarshal(v.Data, &a) == nil && a.Operators != "" {
			list = append(list, a)
		}
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("no instance of %q has published its address", global.Env)
	}
	return list, nil
}

// ask reads an operators' page of an instance.
func ask(ctx context.Context, a address, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, askTime)
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
	if res.StatusCode != http.StatusOK {
		return errors.New(res.Status)
	}
	return json.NewDecoder(res.Body).Decode(v)
}

// askAll asks all instances at once and calls take for each answer.
func askAll[T any](ctx context.Context, list []address, path string, take func(a address, v T, err error)) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, a := range list {
		wait.Add(1)
		go func() {
			defer wait.Done()
			var v T
			err := ask(ctx, a, path, &v)
			mu.Lock()
			defer mu.Unlock()
			take(a, v, err)
		}()
	}
	wait.Wait()
}

type statusCommand struct {
	JSON bool `long:"json" description:"print JSON"`
}

type instanceStatus struct {
	instance.Status
	Error string `json:"error,omitempty"`
}

// Execute prints what each instance runs.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := within()
	defer cancel()
	list, err := instances(ctx)
	if err != nil {
		return err
	}
	var all []instanceStatus
	askAll(ctx, list, "/status", func(a address, s instance.Status, err error) {
		one := instanceStatus{Status: s}
		if err != nil {
			one.Address, one.Centre, one.Error = a.Operators, a.Centre, err.Error()
		}
		all = append(all, one)
	})
	slices.SortFunc(all, func(a, b instanceStatus) int {
		return cmp.Or(cmp.Compare(a.Centre, b.Centre), cmp.Compare(a.Address, b.Address))
	})
	if c.JSON || global.JSON {
		return printJSON(all)
	}
	fmt.Printf("%-22s %-14s %8s %-10s %-8s %7s %5s %7s\n", "INSTANCE", "CENTRE", "REVISION", "SEATS", "READY", "MEMBERS", "OPEN", "WAITING")
	for _, s := range all {
		if s.Error != "" {
			fmt.Printf("%-22s %-14s unreachable: %s\n", s.Address, s.Centre, s.Error)
			continue
		}
		fmt.Printf("%-22s %-14s %8d %-10s %-8s %7d %5d %7d\n", s.Address, s.Centre, s.Revision, fmt.Sprint(s.Seats), s.Ready, s.Members, s.Open, s.Waiting)
	}
	return nil
}

type explainCommand struct {
	Logs []string `long:"log" value-name:"FILE" description:"read these logs of instances in place of asking them; - for standard input; may be given more than once"`
	Args struct {
		Request string `positional-arg-name:"REQUEST" description:"the X-Request-Id of the answer"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the decisions on a request that instances still keep, or that
// stand in their logs.
func (c *explainCommand) Execute([]string) error {
	if len(c.Logs) > 0 {
		return c.fromLogs()
	}
	ctx, cancel := within()
	defer cancel()
	list, err := instances(ctx)
	if err != nil {
		return err
	}
	var all []journal.Decision
	silent := 0
	askAll(ctx, list, "/explain?request="+url.QueryEscape(c.Args.Request), func(_ address, found []journal.Decision, err error) {
		if err != nil {
			silent++
			return
		}
		all = append(all, found...)
	})
	if len(all) == 0 {
		return fmt.Errorf("no instance keeps a decision on %s (%d of %d did not answer)", c.Args.Request, silent, len(list))
	}
	slices.SortFunc(all, func(a, b journal.Decision) int { return a.Time.Compare(b.Time) })
	if global.JSON {
		return printJSON(all)
	}
	for _, d := range all {
		fmt.Println(sentence(d))
	}
	return nil
}

// fromLogs prints the decisions on a request and what the instances believed.
func (c *explainCommand) fromLogs() error {
	var all trail.Trail
	for _, name := range c.Logs {
		text, err := read(name)
		if err != nil {
			return err
		}
		if err := all.Read(filepath.Base(name), strings.NewReader(text)); err != nil {
			return err
		}
	}
	steps := all.Request(c.Args.Request)
	if len(steps) == 0 {
		return fmt.Errorf("the logs hold no decision on %s (%d lines are no decisions)", c.Args.Request, all.Others())
	}
	if global.JSON {
		return printJSON(steps)
	}
	for _, s := range steps {
		fmt.Println(s.Log + " " + sentence(s.Decision))
	}
	return nil
}

// sentence puts a decision in words.
func sentence(d journal.Decision) string {
	s := fmt.Sprintf("%s %-9s %s: %s", d.Time.Format("15:04:05.000"), d.Kind, d.Choice, d.Reason)
	for _, part := range []struct{ name, value string }{
		{"customer", d.Customer}, {"route", d.Route}, {"target", d.Target}, {"centre", d.Centre}, {"run", d.Run},
	} {
		if part.value != "" {
			s += ", " + part.name + " " + part.value
		}
	}
	if d.Tokens != 0 {
		s += fmt.Sprintf(", %.0f tokens", d.Tokens)
	}
	if d.Millis != 0 {
		s += fmt.Sprintf(", %.1f ms", d.Millis)
	}
	return s
}
