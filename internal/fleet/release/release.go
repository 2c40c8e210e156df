// Package release stores releases by content hash. A release is a sidecar's program and an
// overlay for its configuration. The files stored under a hash are complete: they are
// received in a separate folder, checked and synced, and only then the folder is renamed to
// the hash. They are checked again each time before the program is started.
//
// A Dir must have only one user at a time, the agent. The package does not decide which
// releases are in use: the caller of Prune does.
package release

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
)

// The files of a release.
const (
	Sidecar = "sidecar"
	Overlay = "overlay.json"
)

// maxIncoming is the maximum number of releases that are received at the same time. A further
// one discards the oldest, which must then be sent again from the start.
const maxIncoming = 4

// MaxSize is the maximum size of a program and MaxOverlay that of an overlay, in bytes.
const (
	MaxSize    = 256 << 20
	MaxOverlay = 1 << 20
)

// ErrNotFound is wrapped by the error of Verify and Commit for a release that is not there.
var ErrNotFound = errors.New("release: not there")

// Dir is a folder of releases.
type Dir struct{ path string }

// Open opens the folder at path and creates it if it does not exist. It removes releases that
// were not received completely.
func Open(path string) (*Dir, error) {
	if err := os.RemoveAll(filepath.Join(path, "incoming")); err != nil {
		return nil, fmt.Errorf("release: %w", err)
	}
	if err := os.MkdirAll(filepath.Join(path, "incoming"), 0o750); err != nil {
		return nil, fmt.Errorf("release: %w", err)
	}
	return &Dir{path: path}, nil
}

// incoming returns the folder in which a release is received.
func (d *Dir) incoming(hash string) string { return filepath.Join(d.path, "incoming", hash) }

// Path returns the path of a file, Sidecar or Overlay, of a stored release.
func (d *Dir) Path(hash, file string) string { return filepath.Join(d.path, hash, file) }

// Status is how much of a release is stored.
type Status struct {
	Complete bool // the release is stored
	// Bytes received of each file, as long as the release is not complete.
	Sidecar, Overlay int64
}

// Status returns whether a release is stored, and otherwise how much of it was received.
func (d *Dir) Status(hash string) Status {
	if _, err := os.Stat(filepath.Join(d.path, hash)); err == nil {
		return Status{Complete: true}
	}
	size := func(file string) int64 {
		if st, err := os.Stat(filepath.Join(d.incoming(hash), file)); err == nil {
			return st.Size()
		}
		return 0
	}
	return Status{Sidecar: size(Sidecar), Overlay: size(Overlay)}
}

// SameProgram reports whether two stored releases, named by their hashes, have the same
// program.
func (d *Dir) SameProgram(hash, otherHash string) (bool, error) {
	digest, err := fileSum(d.Path(hash, Sidecar))
	if err != nil {
		return false, fmt.Errorf("release: %w", err)
	}
	otherDigest, err := fileSum(d.Path(otherHash, Sidecar))
	if err != nil {
		return false, fmt.Errorf("release: %w", err)
	}
	return bytes.Equal(digest, otherDigest), nil
}

// Write writes data at an offset of a file, Sidecar or Overlay, of a release that is being
// received. Bytes may be written again. Write returns an error if the offset is beyond the end
// of what was received so far, or if the file would exceed its maximum size.
func (d *Dir) Write(hash, file string, offset int64, data []byte) error {
	limit := int64(MaxSize)
	switch {
	case !Valid(hash):
		return fmt.Errorf("release: %q is not the hash of a release", hash)
	case file == Overlay:
		limit = MaxOverlay
	case file != Sidecar:
		return fmt.Errorf("release: unknown file %q; a release has the files %s and %s", file, Sidecar, Overlay)
	}
	if offset < 0 || offset+int64(len(data)) > limit {
		return fmt.Errorf("release: invalid offset, or %s would have more than the maximum of %d bytes", file, limit)
	}
	if err := d.makeIncoming(hash); err != nil {
		return err
	}
	f, err := os.OpenFile(filepath.Join(d.incoming(hash), file), os.O_CREATE|os.O_RDWR, 0o750)
	if err != nil {
		return fmt.Errorf("release: %w", err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return fmt.Errorf("release: %w", err)
	}
	if offset > info.Size() {
		return fmt.Errorf("release: %s has %d bytes so far, but the new ones start at %d", file, info.Size(), offset)
	}
	if _, err := f.WriteAt(data, offset); err != nil {
		return fmt.Errorf("release: %w", err)
	}
	return nil
}

// makeIncoming creates the folder in which a release is received. If that is one folder too
// many, it discards the oldest.
func (d *Dir) makeIncoming(hash string) error {
	if _, err := os.Stat(d.incoming(hash)); errors.Is(err, os.ErrNotExist) {
		if err := prune(filepath.Join(d.path, "incoming"), nil, maxIncoming-1); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(d.incoming(hash), 0o750); err != nil {
		return fmt.Errorf("release: %w", err)
	}
	return nil
}

// Commit checks a received release and stores it under its hash. A release that fails the
// check is discarded and must be sent again. For a release that is already stored, Commit does
// the same as Verify.
func (d *Dir) Commit(hash string) error {
	if d.Status(hash).Complete {
		return d.Verify(hash)
	}
	in := d.incoming(hash)
	if err := verify(in, hash); err != nil {
		os.RemoveAll(in)
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

// syncPath syncs a file or folder.
func syncPath(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Verify checks the files of a stored release against its hash. If the release is not stored,
// the error wraps ErrNotFound.
func (d *Dir) Verify(hash string) error {
	if !Valid(hash) {
		return fmt.Errorf("release: %q is not the hash of a release", hash)
	}
	return verify(filepath.Join(d.path, hash), hash)
}

// verify checks the files in a folder against a hash. If the program is missing, the error
// wraps ErrNotFound.
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
		return fmt.Errorf("release: the files of %.12s have the hash %.12s: they are damaged or incomplete; send the release again", hash, got)
	}
	return nil
}

// Import stores a release from local files and returns its hash. overlay may be "". A stored
// release whose files are damaged is replaced.
func (d *Dir) Import(sidecar, overlay string) (string, error) {
	hash, err := Hash(sidecar, overlay)
	if err != nil {
		return "", fmt.Errorf("release: %w", err)
	}
	if d.Status(hash).Complete && d.Verify(hash) == nil {
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

// importFile writes a local file as a file of the release.
func (d *Dir) importFile(hash, file, path string) error {
	in, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("release: %w", err)
	}
	defer in.Close()
	buf := make([]byte, importChunkBytes)
	for offset := int64(0); ; {
		n, err := in.Read(buf)
		if n > 0 {
			if err := d.Write(hash, file, offset, buf[:n]); err != nil {
				return err
			}
			offset += int64(n)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("release: %w", err)
		}
	}
}

// importChunkBytes is the number of bytes that importFile reads at once.
const importChunkBytes = 256 << 10

// Prune removes stored releases. It retains those whose hashes are in used and, of the others,
// the most recent ones, at most spare of them.
func (d *Dir) Prune(used []string, spare int) error { return prune(d.path, used, spare) }

// prune removes folders in path that are named by a hash. It retains those in used and, of the
// others, the most recent ones, at most spare of them.
func prune(path string, used []string, spare int) error {
	entries, err := os.ReadDir(path)
	if err != nil {
		return fmt.Errorf("release: %w", err)
	}
	var unused []os.FileInfo
	for _, e := range entries {
		if info, err := e.Info(); err == nil && Valid(e.Name()) && !slices.Contains(used, e.Name()) {
			unused = append(unused, info)
		}
	}
	slices.SortFunc(unused, func(a, b os.FileInfo) int { return b.ModTime().Compare(a.ModTime()) })
	for _, info := range unused[min(spare, len(unused)):] {
		if err := os.RemoveAll(filepath.Join(path, info.Name())); err != nil {
			return fmt.Errorf("release: %w", err)
		}
	}
	return nil
}
