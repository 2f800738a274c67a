package main

import (
	"fmt"
	"os"

	"chervilyard.example/chervilstand/slope"
)

type slopesCommand struct {
	Write string `long:"write" value-name:"FILE" description:"replace the tables between the markers of this file instead of printing them"`
}

// Execute measures the slopes and prints the tables or writes them to a file.
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
	updated, err := slope.Replace(string(page), tables)
	if err != nil {
		return err
	}
	return os.WriteFile(c.Write, []byte(updated), 0o644)
}
