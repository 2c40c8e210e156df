// Package goldentest compares what a test produces with files that an earlier build wrote.
//
// The files lie in the testdata folder of the package under test. They pin forms that leave
// the process: stored data, messages and the output of commands. A test run with -update
// writes them anew; that is right only where such a form is meant to change.
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

// Path returns the path of a golden file.
func Path(name string) string { return filepath.Join("testdata", name) }

// Read returns the content of a golden file.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(Path(name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Write replaces a golden file.
func Write(t testing.TB, name string, data []byte) {
	t.Helper()
	if err := os.MkdirAll("testdata", 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(Path(name), data, 0o644); err != nil {
		t.Fatal(err)
	}
}

// CopyFile returns the path of a copy of a golden file, which the test may change. written is the
// path of what the present build writes; with -update it becomes the golden file first.
func CopyFile(t testing.TB, name, written string) string {
	t.Helper()
	if *update {
		data, err := os.ReadFile(written)
		if err != nil {
			t.Fatal(err)
		}
		Write(t, name, data)
	}
	earlier := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(earlier, Read(t, name), 0o600); err != nil {
		t.Fatal(err)
	}
	return earlier
}

// Compare fails the test unless a golden file has exactly this content.
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
	at := 0
	for at < min(len(got), len(want)) && got[at] == want[at] {
		at++
	}
	t.Errorf("%s: %d bytes, want %d; from byte %d on got\n%q\nwant\n%q", name, len(got), len(want), at,
		got[max(0, at-60):min(len(got), at+200)], want[max(0, at-60):min(len(want), at+200)])
}

// Fill sets every exported field below the value that v points to, so that no field is left
// out of an encoding. Slices and maps get one element. Values differ from field to field and
// are the same in each run.
func Fill(v any) { (&filler{}).fill(reflect.ValueOf(v).Elem()) }

// filler counts the fields that it has set.
type filler struct{ count int }

var timeType = reflect.TypeFor[time.Time]()

func (f *filler) fill(v reflect.Value) {
	f.count++
	switch {
	case v.Type() == timeType:
		v.Set(reflect.ValueOf(time.Unix(1_800_000_000+int64(f.count), 0).UTC()))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.count % 100))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.count % 100))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.count) + 0.5)
	case reflect.String:
		v.SetString("text-" + string(rune('a'+f.count%26)))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		f.fill(v.Index(0))
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(v.Field(i))
			}
		}
	}
}
