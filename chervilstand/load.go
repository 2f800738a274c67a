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
	URL     []string      `long:"url" default:"http://127.0.0.1:8080" description:"where calls go, in turn"`
	Against string        `long:"against" value-name:"URL" description:"an engine to measure directly in the same run, half of the time each"`
	Key     string        `long:"key" default:"dev-key" description:"the customer's key"`
	Rate    float64       `long:"rate" default:"200" description:"calls a second, as a Poisson process"`
	For     time.Duration `long:"for" default:"10s" description:"length of the run"`
	Tokens  int           `long:"tokens" default:"20" description:"tokens of an answer"`
	Prompt  int           `long:"prompt" default:"200" description:"bytes of a prompt"`
	Stream  bool          `long:"stream" description:"ask for streams"`
	Booking float64       `long:"booking" description:"part of calls that make a deposit with an idempotency key"`
	Seed    uint64        `long:"seed" default:"1" description:"of arrivals"`
	JSON    bool          `long:"json" description:"print JSON"`
}

// Execute runs the load and prints what it measured.
func (c *loadCommand) Execute([]string) error {
	ctx, cancel := interrupted()
	defer cancel()
	p := load.Plan{
		URLs: c.URL, Key: c.Key, Rate: c.Rate, For: c.For, Warm: c.For / 10, Tokens: c.Tokens, Prompt: c.Prompt,
		Stream: c.Stream, Booking: c.Booking, Seed: c.Seed,
	}
	if err := c.one(ctx, "gateway", p); err != nil || c.Against == "" {
		return err
	}
	p.URLs = []string{c.Against}
	return c.one(ctx, "direct", p)
}

func (c *loadCommand) one(ctx context.Context, name string, p load.Plan) error {
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
