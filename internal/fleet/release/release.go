// Package release keeps releases by content hash: a sidecar's program and an
// overlay for its configuration. What is under a hash is whole: it is written
// aside, synced, checked and only then given its name, and it is checked again
// each time before it is started. One owner at a time, the agent.
package release

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
)

// The files of a release.
const (
	Sidecar = "sidecar"
	Overlay = "overlay.json"
)

// maxIncoming is how many releases may be on their way at once; a further one
// drops the oldest, which its sender begins again.
const maxIncoming = 4

// Most is the most bytes of a program, and MaxOverlay of an overlay.
const (
	MaxSize    = 256 << 20
	MaxOverlay = 1 << 20
)

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// ErrNotFound is a release that is not there.
var ErrNotFound = errors.New("release: not there")

// Valid says whether a string has a hash's form.
func Valid(hash string) bool { return hashPattern.MatchString(hash) }

// Hash is the hash of a release made of these files. overlay may be "".
func Hash(sidecar, overlay string) (string, error) {
	h := sha256.New()
	fmt.Fprintln(h, "martendrum release 1")
	for _, path := range []string{sidecar, overlay} {
		one, err := fileSum(path)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(h, "%x\n", one)
	}
	return hex.EncodeToString(h.Sum(nil)), nil
}

// fileSum is the SHA-256 of a file, of nothing where path is "".
func fileSum(path string) ([]byte, error) {
	h := sha256.New()
	if path != "" {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		_, err = io.Copy(h, f)
		f.Close()
		if err != nil {
			return nil, err
		}
	}
	return h.Sum(nil), nil
}

// CheckOverlay says what is wrong with an overlay: a JSON object, empty for none.
func CheckOverlay(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if len(data) > MaxOverlay {
		return fmt.Errorf("overlay: %d bytes; %d at most", len(data), MaxOverlay)
	}
	var v map[string]any
	if err := json.Unmarshal(data, &v); err != nil {
		return fmt.Errorf("overlay: not a JSON object: %w", err)
	}
	for _, k := range []string{"listen", "name", "seed"} {
		if _, ok := v[k]; ok {
			return fmt.Errorf("overlay: %q differs from instance to instance and can't be part of a release", k)
		}
	}
	return nil
}

// Dir is where releases are kept.
type Dir struct{ path string }

// Open makes the folder if need be, and clears away what was never finished.
func Open(path string) (*Dir, error) {
	if err := os.RemoveAll(filepath.Join(path, "incoming")); err != nil {
		return nil, fmt.Errorf("release: %w", err)
	}
	if err := os.MkdirAll(filepath.Join(path, "incoming"), 0o750); err != nil {
		return nil, fmt.Errorf("release: %w", err)
	}
	return &Dir{path: path}, nil
}

func (d *Dir) incoming(hash string) string { return filepath.Join(d.path, "incoming", hash) }

// Path is the path of a release's file.
func (d *Dir) Path(hash, file string) string { return filepath.Join(d.path, hash, file) }

// Have says whether the release is there, and else what has come of it.
func (d *Dir) Have(hash string) (have bool, sidecar, overlay int64) {
	if _, err := os.Stat(filepath.Join(d.path, hash)); err == nil {
		return true, 0, 0
	}
	size := func(file string) int64 {
		if st, err := os.Stat(filepath.Join(d.incoming(hash), file)); err == nil {
			return st.Size()
		}
		return 0
	}
	return false, size(Sidecar), size(Overlay)
}

// SameProgram says whether two releases differ in their overlays alone.
func (d *Dir) SameProgram(x, y string) (bool, error) {
	one, err := fileSum(d.Path(x, Sidecar))
	if err != nil {
		return false, fmt.Errorf("release: %w", err)
	}
	other, err := fileSum(d.Path(y, Sidecar))
	if err != nil {
		return false, fmt.Errorf("release: %w", err)
	}
	return bytes.Equal(one, other), nil
}

// Write adds bytes at an offset, which must be where the file ends: a repeat of
// what is there already is taken and changes nothing.
func (d *Dir) Write(hash, file string, offset int64, data []byte) error {
	limit := int64(MaxSize)
	switch {
	case !Valid(hash):
		return fmt.Errorf("release: %q is no release's hash", hash)
	case file == Overlay:
		limit = MaxOverlay
	case file != Sidecar:
		return fmt.Errorf("release: a file %q; it has %s and %s", file, Sidecar, Overlay)
	}
	if offset < 0 || offset+int64(len(data)) > limit {
		return fmt.Errorf("release: %s over %d bytes", file, limit)
	}
	if _, err := os.Stat(d.incoming(hash)); errors.Is(err, os.ErrNotExist) {
		if err := prune(filepath.Join(d.path, "incoming"), nil, maxIncoming-1); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(d.incoming(hash), 0o750); err != nil {
		return fmt.Errorf("release: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(d.incoming(hash), file), os.O_CREATE|os.O_RDWR, 0o750)
	if err != nil {
		return fmt.Errorf("release: %w", err)
	}
	defer f.Close()
	st, err := f.Stat()
	if err != nil {
		return fmt.Errorf("release: %w", err)
	}
	if offset > st.Size() {
		return fmt.Errorf("release: %s has %d bytes and more came at %d", file, st.Size(), offset)
	}
	if _, err := f.WriteAt(data, offset); err != nil {
		return fmt.Errorf("release: %w", err)
	}
	return nil
}

// Commit checks what has come and gives it its name.
func (d *Dir) Commit(hash string) error {
	if have, _, _ := d.Have(hash); have {
		return d.Verify(hash)
	}
	in := d.incoming(hash)
	if err := verify(in, hash); err != nil {
		os.RemoveAll(in) // to be sent anew
		return err
	}
	overlay, err := os.ReadFile(filepath.Join(in, Overlay))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("release: %w", err)
	}
	if err := CheckOverlay(overlay); err != nil {
		os.RemoveAll(in)
		return err
	}
	for _, path := range []string{filepath.Join(in, Sidecar), filepath.Join(in, Overlay), in} {
		if err := syncPath(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("release: %w", err)
		}
	}
	if err := os.Chmod(filepath.Join(in, Sidecar), 0o750); err != nil {
		return fmt.Errorf("release: %w", err)
	}
	if err := os.Rename(in, filepath.Join(d.path, hash)); err != nil {
		return fmt.Errorf("release: %w", err)
	}
	return syncPath(d.path)
}

func syncPath(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Verify is nil if the release is there and is what its hash says.
func (d *Dir) Verify(hash string) error {
	if !Valid(hash) {
		return fmt.Errorf("release: %q is no release's hash", hash)
	}
	return verify(filepath.Join(d.path, hash), hash)
}

func verify(dir, hash string) error {
	overlay := filepath.Join(dir, Overlay)
	if _, err := os.Stat(overlay); err != nil {
		overlay = ""
	}
	got, err := Hash(filepath.Join(dir, Sidecar), overlay)
	if errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%w: %.12s", ErrNotFound, hash)
	}
	if err != nil {
		return fmt.Errorf("release: %w", err)
	}
	if got != hash {
		return fmt.Errorf("release: the files of %.12s have the hash %.12s: they are damaged or not whole; send the release again", hash, got)
	}
	return nil
}

// Import takes a release from files of this machine and returns its hash.
func (d *Dir) Import(sidecar, overlay string) (string, error) {
	hash, err := Hash(sidecar, overlay)
	if err != nil {
		return "", fmt.Errorf("release: %w", err)
	}
	if have, _, _ := d.Have(hash); have && d.Verify(hash) == nil {
		return hash, nil
	}
	os.RemoveAll(filepath.Join(d.path, hash))
	os.RemoveAll(d.incoming(hash))
	for file, path := range map[string]string{Sidecar: sidecar, Overlay: overlay} {
		if path == "" {
			continue
		}
		if err := d.importFile(hash, file, path); err != nil {
			return "", err
		}
	}
	return hash, d.Commit(hash)
}

func (d *Dir) importFile(hash, file, path string) error {
	in, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("release: %w", err)
	}
	defer in.Close()
	buf := make([]byte, 256<<10)
	for at := int64(0); ; {
		n, err := in.Read(buf)
		if n > 0 {
			if err := d.Write(hash, file, at, buf[:n]); err != nil {
				return err
			}
			at += int64(n)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("release: %w", err)
		}
	}
}

// Prune removes all releases but those named and the latest spare others.
func (d *Dir) Prune(used []string, spare int) error { return prune(d.path, used, spare) }

// prune removes all folders with a hash's name but those named and the latest spare.
func prune(path string, used []string, spare int) error {
	entries, err := os.ReadDir(path)
	if err != nil {
		return fmt.Errorf("release: %w", err)
	}
	var rest []os.FileInfo
	for _, e := range entries {
		if info, err := e.Info(); err == nil && Valid(e.Name()) && !slices.Contains(used, e.Name()) {
			rest = append(rest, info)
		}
	}
	slices.SortFunc(rest, func(a, b os.FileInfo) int { return b.ModTime().Compare(a.ModTime()) })
	for _, info := range rest[min(spare, len(rest)):] {
		if err := os.RemoveAll(filepath.Join(path, info.Name())); err != nil {
			return fmt.Errorf("release: %w", err)
		}
	}
	return nil
}
