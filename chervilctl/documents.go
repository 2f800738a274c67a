package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"time"

	"chervilyard.example/chervilctl/diff"
	"chervilyard.example/yard/document"
	"chervilyard.example/yard/envelope"
)

const commandTimeout = 20 * time.Second // for all requests of one command

// commandContext returns a context that ends after commandTimeout.
func commandContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), commandTimeout)
}

// readInput returns the content of a file, or of standard input if the name is "-".
func readInput(name string) (string, error) {
	if name == "-" {
		text, err := io.ReadAll(os.Stdin)
		return string(text), err
	}
	text, err := os.ReadFile(name)
	return string(text), err
}

// printJSON writes v to standard output as indented JSON.
func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"file with the document's text; - for standard input"`
}

type checkCommand struct {
	Args fileArgument `positional-args:"yes" required:"yes"`
}

// Execute validates a document without a store and reports all its faults.
func (c *checkCommand) Execute([]string) error {
	text, err := readInput(c.Args.File)
	if err != nil {
		return err
	}
	if _, err := document.Parse(c.Args.File, text); err != nil {
		return err
	}
	fmt.Println("the document is good")
	return nil
}

type applyCommand struct {
	Base int64        `long:"base" default:"-1" value-name:"REVISION" description:"the revision that the text was made from; a text printed by show states its own"`
	Args fileArgument `positional-args:"yes" required:"yes"`
}

type acceptedChange struct {
	Revision int64  `json:"revision"`
	Action   string `json:"action"`
}

// printAccepted prints the revision and action of an accepted change.
func printAccepted(e envelope.Envelope) error {
	if global.JSON {
		return printJSON(acceptedChange{Revision: e.Revision, Action: e.Action})
	}
	fmt.Printf("accepted as revision %d (%s)\n", e.Revision, e.Action)
	return nil
}

// baseLine matches the line in the output of show that states the revision.
var baseLine = regexp.MustCompile(`(?m)^; revision (\d+) .*\n`)

// Execute applies a document if its base revision is still the current one. The
// base revision is that of the flag or else that of the text. If neither gives one,
// the base is 0, and the document is applied only if the environment has none yet.
func (c *applyCommand) Execute([]string) error {
	text, err := readInput(c.Args.File)
	if err != nil {
		return err
	}
	base := c.Base
	if found := baseLine.FindStringSubmatch(text); base < 0 && found != nil {
		base, err = strconv.ParseInt(found[1], 10, 64)
		if err != nil {
			return err
		}
	}
	ctx, cancel := commandContext()
	defer cancel()
	env := openEnvironment(global.Env)
	if base < 0 {
		if err := c.requireNoDocument(ctx); err != nil {
			return err
		}
		base = 0
	}
	text = baseLine.ReplaceAllString(text, "")
	e, err := env.ApplyKeepingKeys(ctx, time.Now(), text, "apply", base)
	if err != nil {
		return err
	}
	return printAccepted(e)
}

// requireNoDocument returns an error if the environment already has a document.
func (c *applyCommand) requireNoDocument(ctx context.Context) error {
	current, err := openEnvironment(global.Env).Read(ctx)
	if err != nil {
		return err
	}
	if current.Revision > 0 {
		return fmt.Errorf("the current revision is %d by %s, and the text does not say which one it was made from; start from the output of show, or name the revision with --base", current.Revision, current.Author)
	}
	return nil
}

type diffCommand struct {
	Args fileArgument `positional-args:"yes" required:"yes"`
}

// Execute prints the lines by which a text differs from the current document. Key
// sections that the text lacks are printed as removed, although apply keeps them if
// the text has none.
func (c *diffCommand) Execute([]string) error {
	text, err := readInput(c.Args.File)
	if err != nil {
		return err
	}
	ctx, cancel := commandContext()
	defer cancel()
	current, err := openEnvironment(global.Env).Read(ctx)
	if err != nil {
		return err
	}
	text = baseLine.ReplaceAllString(text, "")
	fmt.Print(diff.Lines(current.Text, text))
	return nil
}

type showCommand struct {
	Revision int64 `long:"revision" value-name:"REVISION" description:"show this revision instead of the current one"`
}

// Execute prints a document, preceded by a line that states its revision. Apply
// takes the base revision from that line.
func (c *showCommand) Execute([]string) error {
	ctx, cancel := commandContext()
	defer cancel()
	e, err := c.find(ctx)
	if err != nil {
		return err
	}
	if global.JSON {
		return printJSON(e)
	}
	fmt.Printf("; revision %d by %s, %s, %s\n%s", e.Revision, e.Author, e.Time.Format(time.RFC3339), e.Action, e.Text)
	return nil
}

// find returns the revision that the flag gives, or the current one without it.
func (c *showCommand) find(ctx context.Context) (envelope.Envelope, error) {
	env := openEnvironment(global.Env)
	if c.Revision == 0 {
		e, err := env.Read(ctx)
		if err == nil && e.Revision == 0 {
			err = fmt.Errorf("environment %q has no document", global.Env)
		}
		return e, err
	}
	revisions, err := env.History(ctx)
	if err != nil {
		return envelope.Envelope{}, err
	}
	for _, e := range revisions {
		if e.Revision == c.Revision {
			return e, nil
		}
	}
	return envelope.Envelope{}, fmt.Errorf("revision %d is not kept in the history", c.Revision)
}

type historyCommand struct{}

type historyEntry struct {
	Revision int64     `json:"revision"`
	Author   string    `json:"author"`
	Action   string    `json:"action"`
	Time     time.Time `json:"time"`
}

// Execute lists the current and earlier revisions, newest first.
func (c *historyCommand) Execute([]string) error {
	ctx, cancel := commandContext()
	defer cancel()
	revisions, err := openEnvironment(global.Env).History(ctx)
	if err != nil {
		return err
	}
	entries := make([]historyEntry, 0, len(revisions))
	for _, e := range revisions {
		entries = append(entries, historyEntry{Revision: e.Revision, Author: e.Author, Action: e.Action, Time: e.Time})
	}
	if global.JSON {
		return printJSON(entries)
	}
	for _, e := range entries {
		fmt.Printf("%6d  %s  %-12s %s\n", e.Revision, e.Time.Format(time.RFC3339), e.Author, e.Action)
	}
	return nil
}

type rollbackCommand struct {
	Args struct {
		Revision int64 `positional-arg-name:"REVISION"`
	} `positional-args:"yes" required:"yes"`
}

// Execute replaces the document with the text of an earlier revision, as a new
// revision.
func (c *rollbackCommand) Execute([]string) error {
	ctx, cancel := commandContext()
	defer cancel()
	e, err := openEnvironment(global.Env).Rollback(ctx, time.Now(), c.Args.Revision)
	if err != nil {
		return err
	}
	return printAccepted(e)
}

type promoteCommand struct {
	Args struct {
		From string `positional-arg-name:"FROM"`
		To   string `positional-arg-name:"TO"`
	} `positional-args:"yes" required:"yes"`
}

// Execute replaces the document of environment TO with that of FROM. TO keeps its
// environment, target and key sections if it already has a document.
func (c *promoteCommand) Execute([]string) error {
	if c.Args.From == c.Args.To {
		return errors.New("FROM and TO are the same environment")
	}
	ctx, cancel := commandContext()
	defer cancel()
	e, err := openEnvironment(c.Args.To).Promote(ctx, time.Now(), c.Args.From)
	if err != nil {
		return err
	}
	return printAccepted(e)
}

type keyCommand struct {
	Issue    issueCommand    `command:"issue" description:"create an API key; its secret is shown only once"`
	Withdraw withdrawCommand `command:"withdraw" description:"end the use of a key on all instances"`
	List     listCommand     `command:"list" description:"list the keys without their secrets"`
}

type issueCommand struct {
	Customer string `long:"customer" required:"true" value-name:"NAME" description:"customer that the key belongs to"`
	JSON     bool   `long:"json" description:"print JSON"`
}

type issuedKey struct {
	ID  string `json:"id"`
	Key string `json:"key"`
}

// Execute adds an API key of the customer and prints its identifier and secret.
func (c *issueCommand) Execute([]string) error {
	ctx, cancel := commandContext()
	defer cancel()
	k, secret, err := openEnvironment(global.Env).IssueKey(ctx, time.Now(), c.Customer)
	if err != nil {
		return err
	}
	if c.JSON || global.JSON {
		return printJSON(issuedKey{ID: k.ID(), Key: secret})
	}
	fmt.Printf("id  %s\nkey %s\n", k.ID(), secret)
	return nil
}

type withdrawCommand struct {
	Args struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`
}

// Execute removes an API key from the document.
func (c *withdrawCommand) Execute([]string) error {
	ctx, cancel := commandContext()
	defer cancel()
	if err := openEnvironment(global.Env).WithdrawKey(ctx, time.Now(), c.Args.ID); err != nil {
		return err
	}
	fmt.Println("withdrawn", c.Args.ID)
	return nil
}

type listCommand struct {
	JSON bool `long:"json" description:"print JSON"`
}

type listedKey struct {
	ID       string `json:"id"`
	Customer string `json:"customer"`
}

// Execute lists the API keys of the current document with their customers.
func (c *listCommand) Execute([]string) error {
	ctx, cancel := commandContext()
	defer cancel()
	e, err := openEnvironment(global.Env).Read(ctx)
	if err != nil {
		return err
	}
	d, err := document.Parse(global.Env, e.Text)
	if err != nil {
		return err
	}
	keys := []listedKey{}
	for _, k := range d.Keys() {
		keys = append(keys, listedKey{ID: k.ID(), Customer: k.Customer()})
	}
	if c.JSON || global.JSON {
		return printJSON(keys)
	}
	for _, k := range keys {
		fmt.Printf("%-14s %s\n", k.ID, k.Customer)
	}
	return nil
}
