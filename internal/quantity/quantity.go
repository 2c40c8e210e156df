// Package quantity reads operators' TOML files strictly: durations and sizes must have a
// unit, an unknown key is an error, and errors name file and line. It does not check the
// values otherwise.
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

// Duration is a duration with its unit, as in "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is no duration; write it with its unit, as in \"800ms\" or \"4s\"", b)
	}
	*d = Duration(v)
	return nil
}

// Bytes is a size with its unit, as in "4MiB".
type Bytes int64

// UnmarshalText parses a size in KiB, MiB or GiB.
func (n *Bytes) UnmarshalText(b []byte) error {
	for unit, shift := range map[string]int{"KiB": 10, "MiB": 20, "GiB": 30} {
		if s, ok := strings.CutSuffix(string(b), unit); ok {
			v, err := strconv.ParseInt(strings.TrimSpace(s), 10, 32)
			if err == nil && v >= 0 {
				*n = Bytes(v << shift)
				return nil
			}
		}
	}
	return fmt.Errorf("%q is no size; write it with its unit, as in \"64KiB\" or \"4MiB\"", b)
}

// ResolvePaths makes the relative paths that a file contains relative to its folder.
func ResolvePaths(file string, paths ...*string) error {
	dir, err := filepath.Abs(filepath.Dir(file))
	if err != nil {
		return err
	}
	for _, p := range paths {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(dir, *p)
		}
	}
	return nil
}

// Load decodes a TOML file into v.
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
	if e, ok := errors.AsType[*toml.DecodeError](err); ok {
		row, _ := e.Position()
		return fmt.Errorf("%s:%d: %s: %w", path, row, strings.Join(e.Key(), "."), e)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
