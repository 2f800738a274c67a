package main

import (
	"fmt"
	"os"

	"chervilyard.example/chervilstand/slope"
)

type slopesCommand struct {
	Write string `long:"write" value-name:"FILE" description:"rewrite the tables between the markers of this page"`
}

// Execute measures the slopes and prints the tables, or puts them into a page.
func (c *slopesCommand) Execute([]string) error {
	tables, err := slope.Measure()
	if err != nil {
		return err
	}
	if c.Write == "" {
		fmt.Print(tables)
		return nil
	}
	page, err := os.ReadFile(c.Write)
	if err != nil {
		return err
	}
	next, err := slope.Replace(string(page), tables)
	if err != nil {
		return err
	}
	return os.WriteFile(c.Write, []byte(next), 0o644)
}
