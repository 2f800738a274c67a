package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"chervilyard.example/chervilstand/load"
)

type loadCommand struct {
	URL          []string      `long:"url" default:"http://127.0.0.1:8080" description:"base URL of the gateway; several are used in turn"`
	Against      string        `long:"against" value-name:"URL" description:"base URL of an engine to measure directly afterwards, with the same load"`
	Key          string        `long:"key" default:"dev-key" description:"API key of the customer"`
	Rate         float64       `long:"rate" default:"200" description:"mean requests per second of a Poisson process"`
	Duration     time.Duration `long:"for" default:"10s" description:"duration of the run; the first tenth is not counted"`
	Tokens       int           `long:"tokens" default:"20" description:"output tokens of a request"`
	PromptBytes  int           `long:"prompt" default:"200" description:"prompt size in bytes"`
	Stream       bool          `long:"stream" description:"request streamed responses"`
	DepositRatio float64       `long:"booking" description:"fraction of requests, 0 to 1, that make a deposit with an idempotency key"`
	Seed         uint64        `long:"seed" default:"1" description:"seed of the random arrival times"`
	JSON         bool          `long:"json" description:"print the results as JSON"`
}

// Execute runs the load and prints the results. With Against set it then runs
// the same load directly against an engine.
func (c *loadCommand) Execute([]string) error {
	ctx, cancel := interruptContext()
	defer cancel()
	p := load.Plan{
		URLs: c.URL, Key: c.Key, Rate: c.Rate, Duration: c.Duration, WarmUp: c.Duration / 10, Tokens: c.Tokens, PromptBytes: c.PromptBytes,
		Stream: c.Stream, DepositRatio: c.DepositRatio, Seed: c.Seed,
	}
	if err := c.measure(ctx, "gateway", p); err != nil || c.Against == "" {
		return err
	}
	p.URLs = []string{c.Against}
	return c.measure(ctx, "direct", p)
}

// measure runs one plan and prints its result under the given name.
func (c *loadCommand) measure(ctx context.Context, name string, p load.Plan) error {
	r, err := load.Run(ctx, name, p)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	fmt.Println(r)
	return nil
}
