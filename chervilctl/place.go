package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"

	"chervilyard.example/chervilctl/placetext"
	"chervilyard.example/chervilyard/placereport"
	"chervilyard.example/yard/head"
)

type placeCommand struct {
	JSON         bool     `long:"json" description:"print JSON"`
	Instance     string   `long:"instance" value-name:"HOST:PORT" description:"operators' address of the instance to ask, or on the platform its address for metrics; the only instance in the store by default"`
	Request      string   `long:"request" value-name:"FILE" description:"HTTP request as a caller sends it, with its key; - for standard input"`
	Method       string   `long:"method" value-name:"METHOD" description:"method; GET by default"`
	Host         string   `long:"host" value-name:"HOST" description:"value of the Host header"`
	Path         string   `long:"path" value-name:"PATH" description:"path and query; / by default"`
	Customer     string   `long:"customer" value-name:"NAME" description:"customer, in place of a key"`
	PromptTokens *int     `long:"prompt-tokens" value-name:"N" description:"tokens of the prompt"`
	OutputTokens *int     `long:"output-tokens" value-name:"N" description:"largest number of tokens of the answer"`
	Parts        []string `long:"part" value-name:"ID:TOKENS" description:"part of the prompt; may be given more than once, in order"`
}

// Execute prints where an instance would send the request now, and why.
func (c *placeCommand) Execute([]string) error {
	q, err := c.query()
	if err != nil {
		return err
	}
	ctx, cancel := commandContext()
	defer cancel()
	address, err := c.address(ctx)
	if err != nil {
		return err
	}
	report, err := askPlace(ctx, address, q)
	if err != nil {
		return fmt.Errorf("instance %s: %w", address, err)
	}
	if c.JSON || global.JSON {
		return printJSON(report)
	}
	return placetext.Write(os.Stdout, report)
}

func (c *placeCommand) query() (placereport.Query, error) {
	q := placereport.Query{Method: c.Method, Host: c.Host, Path: c.Path, Customer: c.Customer, PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens}
	if c.Request != "" {
		text, err := readInput(c.Request)
		if err != nil {
			return q, err
		}
		q.Raw = []byte(text)
	}
	for _, part := range c.Parts {
		i := strings.LastIndexByte(part, ':')
		tokens, err := strconv.Atoi(part[i+1:])
		if i < 1 || err != nil || tokens < 0 {
			return q, fmt.Errorf("--part %q is not of the form ID:TOKENS", part)
		}
		q.Parts = append(q.Parts, placereport.Part{ID: part[:i], Tokens: tokens})
	}
	return q, nil
}

// address returns the address of the instance to ask.
func (c *placeCommand) address(ctx context.Context) (string, error) {
	if c.Instance != "" {
		_, _, err := net.SplitHostPort(c.Instance)
		return c.Instance, err
	}
	list, err := instances(ctx)
	if err != nil {
		return "", err
	}
	if len(list) == 1 {
		return list[0].Operators, nil
	}
	var names []string
	for _, a := range list {
		names = append(names, a.Operators+" ("+a.Centre+")")
	}
	return "", errors.New("name one of the instances with --instance: " + strings.Join(names, ", "))
}

// maxErrorBytes bounds the text of an instance's error that is shown.
const maxErrorBytes = 4 << 10

func askPlace(ctx context.Context, address string, q placereport.Query) (placereport.Report, error) {
	var report placereport.Report
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body, err := json.Marshal(q)
	if err != nil {
		return report, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+placereport.Path, bytes.NewReader(body))
	if err != nil {
		return report, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return report, err
	}
	defer res.Body.Close()
	if err := head.Check(res.StatusCode, res.Header); err != nil {
		return report, err
	}
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes)) // what arrived is shown
		return report, fmt.Errorf("%s: %s", res.Status, strings.TrimSpace(string(text)))
	}
	return report, json.NewDecoder(res.Body).Decode(&report)
}
