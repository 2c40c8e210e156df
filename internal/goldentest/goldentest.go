// Package goldentest compares what a test produces with golden files, which an earlier build wrote.
//
// The golden files are in the testdata folder of the package under test. They guard the formats of
// data that leaves the process against unintended changes: stored data, messages and the output of
// commands. A test run with -update rewrites them; use it only if a format is meant to change.
package goldentest

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// Path returns the path of a golden file, relative to the folder of the package under test.
func Path(name string) string { return filepath.Join("testdata", name) }

// Read returns the content of a golden file. If the file can't be read, the test ends as failed.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(Path(name))
	if err != nil {
		t.Fatalf("read the golden file: %v", err)
	}
	return data
}

// Write creates or replaces a golden file. If it can't be written, the test ends as failed.
func Write(t testing.TB, name string, data []byte) {
	t.Helper()
	if err := os.MkdirAll("testdata", 0o755); err != nil {
		t.Fatalf("create the folder for golden files: %v", err)
	}
	if err := os.WriteFile(Path(name), data, 0o644); err != nil {
		t.Fatalf("write the golden file: %v", err)
	}
}

// CopyFile copies a golden file to a temporary folder and returns the path of the copy, which the
// test may change. written is the path of a file that the current build wrote; with -update
// CopyFile first replaces the golden file by it.
func CopyFile(t testing.TB, name, written string) string {
	t.Helper()
	if *update {
		data, err := os.ReadFile(written)
		if err != nil {
			t.Fatalf("read the new content of the golden file: %v", err)
		}
		Write(t, name, data)
	}
	copyPath := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(copyPath, Read(t, name), 0o600); err != nil {
		t.Fatalf("write the copy of the golden file: %v", err)
	}
	return copyPath
}

// Compare fails the test unless the content of a golden file equals got. With -update it writes got
// to the file instead.
func Compare(t testing.TB, name string, got []byte) {
	t.Helper()
	if *update {
		Write(t, name, got)
		return
	}
	want := Read(t, name)
	if bytes.Equal(got, want) {
		return
	}
	offset := 0
	for offset < min(len(got), len(want)) && got[offset] == want[offset] {
		offset++
	}
	t.Errorf("%s: got %d bytes, want %d; they differ from offset %d on: got\n%q\nwant\n%q", name, len(got), len(want), offset,
		got[max(0, offset-60):min(len(got), offset+200)], want[max(0, offset-60):min(len(want), offset+200)])
}

// Fill sets every exported field, at any depth, of the value that target points to, so that an
// encoding leaves no field out as empty. Slices and maps get one element. Numbers, strings and
// times differ between neighbouring fields, booleans are true. The values are the same in each run.
// Fill panics if target is not a pointer.
func Fill(target any) { (&filler{}).fill(reflect.ValueOf(target).Elem()) }

// filler sets values. It derives them from the number of values that it has visited.
type filler struct{ count int }

var timeType = reflect.TypeFor[time.Time]()

// fill sets a value and everything below it. It leaves interfaces, functions and channels as they
// are.
func (f *filler) fill(target reflect.Value) {
	f.count++
	switch {
	case target.Type() == timeType:
		target.Set(reflect.ValueOf(time.Unix(1_800_000_000+int64(f.count), 0).UTC()))
		return
	}
	switch target.Kind() {
	case reflect.Bool:
		target.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		target.SetInt(int64(f.count % 100))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		target.SetUint(uint64(f.count % 100))
	case reflect.Float32, reflect.Float64:
		target.SetFloat(float64(f.count) + 0.5)
	case reflect.String:
		target.SetString("text-" + string(rune('a'+f.count%26)))
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		f.fill(target.Elem())
	case reflect.Slice:
		target.Set(reflect.MakeSlice(target.Type(), 1, 1))
		f.fill(target.Index(0))
	case reflect.Array:
		for i := range target.Len() {
			f.fill(target.Index(i))
		}
	case reflect.Map:
		key, value := reflect.New(target.Type().Key()).Elem(), reflect.New(target.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		target.Set(reflect.MakeMap(target.Type()))
		target.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range target.NumField() {
			if target.Type().Field(i).IsExported() {
				f.fill(target.Field(i))
			}
		}
	}
}
