// Package quantity reads operators' TOML files strictly: durations and sizes must have a
// unit, an unknown key is an error, and errors name file and line. Checking the values is up
// to the caller.
package quantity

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a duration that is written with its unit, as in "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration in the form of time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	parsed, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration; write it with its unit, as in \"800ms\" or \"4s\"", b)
	}
	*d = Duration(parsed)
	return nil
}

// Bytes is a number of bytes that is written with its unit, as in "4MiB".
type Bytes int64

// UnmarshalText parses a whole number of KiB, MiB or GiB.
func (n *Bytes) UnmarshalText(b []byte) error {
	for unit, shift := range map[string]int{"KiB": 10, "MiB": 20, "GiB": 30} {
		if number, ok := strings.CutSuffix(string(b), unit); ok {
			count, err := strconv.ParseInt(strings.TrimSpace(number), 10, 32)
			if err == nil && count >= 0 {
				*n = Bytes(count << shift)
				return nil
			}
		}
	}
	return fmt.Errorf("%q is not a size; write it with its unit, as in \"64KiB\" or \"4MiB\"", b)
}

// ResolvePaths replaces each relative path in paths, read from the given file, by an absolute one:
// the path is relative to the file's directory. Empty paths stay empty.
func ResolvePaths(file string, paths ...*string) error {
	dir, err := filepath.Abs(filepath.Dir(file))
	if err != nil {
		return err
	}
	for _, path := range paths {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(dir, *path)
		}
	}
	return nil
}

// Load reads a TOML file into v, a pointer to a struct. A key without a field in v is an error.
func Load(path string, v any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	err = toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(v)
	if unknown, ok := errors.AsType[*toml.StrictMissingError](err); ok {
		first := unknown.Errors[0]
		row, _ := first.Position()
		return fmt.Errorf("%s:%d: unknown key %q", path, row, strings.Join(first.Key(), "."))
	}
	if decodeErr, ok := errors.AsType[*toml.DecodeError](err); ok {
		row, _ := decodeErr.Position()
		return fmt.Errorf("%s:%d: %s: %w", path, row, strings.Join(decodeErr.Key(), "."), decodeErr)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
