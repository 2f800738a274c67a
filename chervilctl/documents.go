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

	"chervilyard.example/chervilctl/difference"
	"chervilyard.example/yard/document"
	"chervilyard.example/yard/envelope"
)

const callTime = 20 * time.Second

func within() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTime)
}

// read returns the text of a file, "-" for standard input.
func read(name string) (string, error) {
	if name == "-" {
		text, err := io.ReadAll(os.Stdin)
		return string(text), err
	}
	text, err := os.ReadFile(name)
	return string(text), err
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"the text; - for standard input"`
}

type checkCommand struct {
	Args fileArgument `positional-args:"yes" required:"yes"`
}

// Execute checks a text as a whole.
func (c *checkCommand) Execute([]string) error {
	text, err := read(c.Args.File)
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
	Base int64        `long:"base" default:"-1" value-name:"REVISION" description:"the revision that the text was made from; a text from show names its own"`
	Args fileArgument `positional-args:"yes" required:"yes"`
}

type accepted struct {
	Revision int64  `json:"revision"`
	Action   string `json:"action"`
}

func report(e envelope.Envelope) error {
	if global.JSON {
		return printJSON(accepted{Revision: e.Revision, Action: e.Action})
	}
	fmt.Printf("accepted as revision %d (%s)\n", e.Revision, e.Action)
	return nil
}

var baseLine = regexp.MustCompile(`(?m)^; revision (\d+) .*\n`)

// Execute applies a text if the revision that it was made from still stands.
func (c *applyCommand) Execute([]string) error {
	text, err := read(c.Args.File)
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
	ctx, cancel := within()
	defer cancel()
	env := target(global.Env)
	if base < 0 {
		if err := c.first(ctx); err != nil {
			return err
		}
		base = 0
	}
	text = baseLine.ReplaceAllString(text, "")
	e, err := env.ApplyKeepingKeys(ctx, time.Now(), text, "apply", base)
	if err != nil {
		return err
	}
	return report(e)
}

// first allows a text that names no revision only where nothing stands yet.
func (c *applyCommand) first(ctx context.Context) error {
	stands, err := target(global.Env).Read(ctx)
	if err != nil {
		return err
	}
	if stands.Revision > 0 {
		return fmt.Errorf("revision %d by %s stands, and the text does not say which it was made from; start from show, or name it with --base", stands.Revision, stands.Author)
	}
	return nil
}

type diffCommand struct {
	Args fileArgument `positional-args:"yes" required:"yes"`
}

// Execute prints the lines that a text would take away and add.
func (c *diffCommand) Execute([]string) error {
	text, err := read(c.Args.File)
	if err != nil {
		return err
	}
	ctx, cancel := within()
	defer cancel()
	stands, err := target(global.Env).Read(ctx)
	if err != nil {
		return err
	}
	text = baseLine.ReplaceAllString(text, "")
	fmt.Print(difference.Lines(stands.Text, text))
	return nil
}

type showCommand struct {
	Revision int64 `long:"revision" value-name:"REVISION" description:"an earlier revision"`
}

// Execute prints the document with the revision that apply compares with.
func (c *showCommand) Execute([]string) error {
	ctx, cancel := within()
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

func (c *showCommand) find(ctx context.Context) (envelope.Envelope, error) {
	env := target(global.Env)
	if c.Revision == 0 {
		e, err := env.Read(ctx)
		if err == nil && e.Revision == 0 {
			err = fmt.Errorf("environment %q has no document", global.Env)
		}
		return e, err
	}
	all, err := env.History(ctx)
	if err != nil {
		return envelope.Envelope{}, err
	}
	for _, e := range all {
		if e.Revision == c.Revision {
			return e, nil
		}
	}
	return envelope.Envelope{}, fmt.Errorf("revision %d is not kept", c.Revision)
}

type historyCommand struct{}

type entry struct {
	Revision int64     `json:"revision"`
	Author   string    `json:"author"`
	Action   string    `json:"action"`
	Time     time.Time `json:"time"`
}

// Execute lists the accepted revisions, newest first.
func (c *historyCommand) Execute([]string) error {
	ctx, cancel := within()
	defer cancel()
	all, err := target(global.Env).History(ctx)
	if err != nil {
		return err
	}
	list := make([]entry, 0, len(all))
	for _, e := range all {
		list = append(list, entry{Revision: e.Revision, Author: e.Author, Action: e.Action, Time: e.Time})
	}
	if global.JSON {
		return printJSON(list)
	}
	for _, e := range list {
		fmt.Printf("%6d  %s  %-12s %s\n", e.Revision, e.Time.Format(time.RFC3339), e.Author, e.Action)
	}
	return nil
}

type rollbackCommand struct {
	Args struct {
		Revision int64 `positional-arg-name:"REVISION"`
	} `positional-args:"yes" required:"yes"`
}

// Execute makes an earlier revision's text the document again.
func (c *rollbackCommand) Execute([]string) error {
	ctx, cancel := within()
	defer cancel()
	e, err := target(global.Env).Rollback(ctx, time.Now(), c.Args.Revision)
	if err != nil {
		return err
	}
	return report(e)
}

type promoteCommand struct {
	Args struct {
		From string `positional-arg-name:"FROM"`
		To   string `positional-arg-name:"TO"`
	} `positional-args:"yes" required:"yes"`
}

// Execute makes the document of FROM that of TO, which keeps its own targets
// and keys.
func (c *promoteCommand) Execute([]string) error {
	if c.Args.From == c.Args.To {
		return errors.New("FROM and TO are the same environment")
	}
	ctx, cancel := within()
	defer cancel()
	e, err := target(c.Args.To).Promote(ctx, time.Now(), c.Args.From)
	if err != nil {
		return err
	}
	return report(e)
}

type keyCommand struct {
	Issue    issueCommand    `command:"issue" description:"make a new key; its secret is shown once"`
	Withdraw withdrawCommand `command:"withdraw" description:"end a key everywhere"`
	List     listCommand     `command:"list" description:"list keys without their secrets"`
}

type issueCommand struct {
	Customer string `long:"customer" required:"true" value-name:"NAME" description:"whose key it is"`
	JSON     bool   `long:"json" description:"print JSON"`
}

type issued struct {
	ID  string `json:"id"`
	Key string `json:"key"`
}

// Execute adds a key of the customer.
func (c *issueCommand) Execute([]string) error {
	ctx, cancel := within()
	defer cancel()
	k, secret, err := target(global.Env).IssueKey(ctx, time.Now(), c.Customer)
	if err != nil {
		return err
	}
	if c.JSON || global.JSON {
		return printJSON(issued{ID: k.ID(), Key: secret})
	}
	fmt.Printf("id  %s\nkey %s\n", k.ID(), secret)
	return nil
}

type withdrawCommand struct {
	Args struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`
}

// Execute removes a key.
func (c *withdrawCommand) Execute([]string) error {
	ctx, cancel := within()
	defer cancel()
	if err := target(global.Env).WithdrawKey(ctx, time.Now(), c.Args.ID); err != nil {
		return err
	}
	fmt.Println("withdrawn", c.Args.ID)
	return nil
}

type listCommand struct {
	JSON bool `long:"json" description:"print JSON"`
}

type listed struct {
	ID       string `json:"id"`
	Customer string `json:"customer"`
}

// Execute lists the keys.
func (c *listCommand) Execute([]string) error {
	ctx, cancel := within()
	defer cancel()
	e, err := target(global.Env).Read(ctx)
	if err != nil {
		return err
	}
	d, err := document.Parse(global.Env, e.Text)
	if err != nil {
		return err
	}
	list := []listed{}
	for _, k := range d.Keys() {
		list = append(list, listed{ID: k.ID(), Customer: k.Customer()})
	}
	if c.JSON || global.JSON {
		return printJSON(list)
	}
	for _, k := range list {
		fmt.Printf("%-14s %s\n", k.ID, k.Customer)
	}
	return nil
}
