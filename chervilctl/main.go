// Chervilctl is the command-line tool for operators. It validates, applies and
// shows the configuration documents of environments, issues and withdraws API
// keys, and reports the state and the decisions of instances.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/user"

	"github.com/jessevdk/go-flags"

	"chervilyard.example/yard/environment"
	"chervilyard.example/yard/fault"
	"chervilyard.example/yard/store"
)

// Exit codes.
const (
	exitFault    = 2 // invalid document or arguments; nothing was changed
	exitConflict = 3 // the base revision is not the current one; nothing was changed
	exitUnknown  = 4 // unknown whether the change took effect
	exitStore    = 5 // the store failed or refused the request; nothing was changed
	exitOther    = 1 // any other error
)

type options struct {
	Store  string `long:"store" env:"CHERVIL_STORE" default:"http://127.0.0.1:8070" value-name:"URL" description:"URL of the platform's key-value store"`
	Env    string `long:"env" env:"CHERVIL_ENV" default:"dev" value-name:"NAME" description:"name of the environment"`
	Author string `long:"author" env:"CHERVIL_AUTHOR" value-name:"NAME" description:"author to record with a change; the name of the current user by default"`
	JSON   bool   `long:"json" description:"print JSON"`

	Check    checkCommand    `command:"check" description:"check the text of a document without applying it"`
	Apply    applyCommand    `command:"apply" description:"replace the environment's document with a text"`
	Diff     diffCommand     `command:"diff" description:"show how a text differs from the current document"`
	Show     showCommand     `command:"show" description:"print the current document"`
	History  historyCommand  `command:"history" description:"list the accepted revisions"`
	Rollback rollbackCommand `command:"rollback" description:"restore an earlier revision as a new one"`
	Promote  promoteCommand  `command:"promote" description:"copy the document of one environment to another"`
	Key      keyCommand      `command:"key" description:"issue, withdraw and list keys"`
	Status   statusCommand   `command:"status" description:"show the state of each instance"`
	Explain  explainCommand  `command:"explain" description:"show the decisions on a request"`
	Place    placeCommand    `command:"place" description:"show where a request would go now and why, without sending it"`
	Cold     coldCommand     `command:"cold" description:"count the requests to cold targets and to targets with a limit, from logs"`
}

var global options

func main() { os.Exit(run()) }

// run executes the command line and returns the exit code.
func run() int {
	parser := flags.NewParser(&global, flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.Parse()
	if err == nil {
		return 0
	}
	var f *flags.Error
	if errors.As(err, &f) {
		if f.Type == flags.ErrHelp {
			fmt.Println(err)
			return 0
		}
		fmt.Fprintln(os.Stderr, err)
		return exitFault
	}
	fmt.Fprintln(os.Stderr, "chervilctl:", err)
	return exitCode(err)
}

// exitCode returns the exit code for an error. It tells whether the change took
// effect, except for exitOther.
func exitCode(err error) int {
	var faults fault.List
	var conflict *environment.ConflictError
	var unknownOutcome *environment.UnknownOutcomeError
	switch {
	case errors.As(err, &faults):
		return exitFault
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &unknownOutcome), store.KindOf(err) == store.Unknown:
		return exitUnknown
	case store.KindOf(err) != "":
		return exitStore
	}
	return exitOther
}

// openEnvironment returns the named environment in the store that the flags give.
func openEnvironment(name string) *environment.Environment {
	return &environment.Environment{Store: store.New(global.Store), Name: name, Author: author()}
}

// author returns the author that the flags give, the name of the current user if
// they give none, or "unknown" if the user cannot be determined.
func author() string {
	if global.Author != "" {
		return global.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
