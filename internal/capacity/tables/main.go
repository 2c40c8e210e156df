// Command tables writes the tables of docs/CAPACITY.md from the raw results in
// internal/capacity/results. With -check it writes nothing and fails if the page and the
// results differ. Run it from the root of the module, or name the page.
//
//	go run ./internal/capacity/tables [-check] [-page FILE]
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"

	"martendrum/internal/capacity"
)

func main() {
	check := flag.Bool("check", false, "compare the page with the results instead of writing it")
	page := flag.String("page", "docs/CAPACITY.md", "path of the page")
	flag.Parse()
	if err := run(*page, *check); err != nil {
		fmt.Fprintln(os.Stderr, err)
		if adviser, ok := errors.AsType[interface {
			error
			Advice() string
		}](err); ok {
			fmt.Fprintln(os.Stderr, adviser.Advice())
		}
		os.Exit(1)
	}
}

// run checks the page at a path, or writes the current tables into it.
func run(path string, check bool) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	results, err := capacity.LoadResults()
	if err != nil {
		return err
	}
	tables := capacity.NewTables(results)
	if check {
		return capacity.Check(string(text), tables)
	}
	filled, err := capacity.Fill(string(text), tables)
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(filled), 0o644)
}
