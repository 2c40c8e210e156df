package release

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// newDir returns an empty folder of releases, the temporary folder that contains it, and the
// path of a program file with the given content.
func newDir(t *testing.T, program string) (dir *Dir, root, path string) {
	t.Helper()
	root = t.TempDir()
	path = filepath.Join(root, "program")
	if err := os.WriteFile(path, []byte(program), 0o700); err != nil {
		t.Fatalf("creating the program file: %v", err)
	}
	dir, err := Open(filepath.Join(root, "releases"))
	if err != nil {
		t.Fatalf("Open: %v", err)
	}
	return dir, root, path
}

// TestIncompleteRelease checks that Verify does not find a release before Commit has stored it,
// however much of it was received, that Open removes it, and that Commit rejects it if a byte is
// missing. It also checks that Verify finds damage to a stored release and that Import repairs
// it.
func TestIncompleteRelease(t *testing.T) {
	d, root, path := newDir(t, "0123456789")
	hash, err := Hash(path, "")
	if err != nil {
		t.Fatalf("Hash: %v", err)
	}
	for n := range 10 {
		if err := d.Write(hash, Sidecar, int64(n), []byte("0123456789")[n:n+1]); err != nil {
			t.Fatalf("writing byte %d: %v", n, err)
		}
		if got := d.Status(hash); got.Complete || got.Sidecar != int64(n+1) {
			t.Fatalf("status after %d bytes = %+v, want an incomplete release with as many bytes", n+1, got)
		}
		if err := d.Verify(hash); !errors.Is(err, ErrNotFound) {
			t.Fatalf("Verify after %d bytes: got error %v, want ErrNotFound", n+1, err)
		}
	}
	if d, err = Open(filepath.Join(root, "releases")); err != nil {
		t.Fatalf("opening the folder again: %v", err)
	}
	if got := d.Status(hash).Sidecar; got != 0 {
		t.Errorf("after Open, %d bytes of an incomplete release remain, want 0", got)
	}
	d.Write(hash, Sidecar, 0, []byte("012345678"))
	if err := d.Commit(hash); err == nil {
		t.Error("Commit accepted a release without its last byte")
	}
	if err := d.Write(hash, Sidecar, 0, []byte("0123456789")); err != nil {
		t.Fatalf("writing the complete program: %v", err)
	}
	for range 2 { // Commit can be repeated
		if err := d.Commit(hash); err != nil {
			t.Fatalf("Commit of the complete release: %v", err)
		}
	}
	if err := d.Verify(hash); err != nil {
		t.Errorf("Verify of the stored release: %v", err)
	}
	os.WriteFile(d.Path(hash, Sidecar), []byte("0123456780"), 0o700)
	if err := d.Verify(hash); err == nil || !strings.Contains(err.Error(), "damaged") {
		t.Errorf("Verify after the program changed on disk: got error %v, want one that says damaged", err)
	}
	if imported, err := d.Import(path, ""); err != nil || imported != hash || d.Verify(hash) != nil {
		t.Errorf("Import over the damaged release = %q, %v; want %q and files that Verify accepts", imported, err, hash)
	}
}

// TestOverlays checks which overlays are accepted, and that a release with an invalid one is
// not stored.
func TestOverlays(t *testing.T) {
	d, root, path := newDir(t, "x")
	overlay := filepath.Join(root, "o.json")
	for text, want := range map[string]string{
		"{": "JSON", "[]": "object", `{"listen":"x"}`: "listen", `{"seed":"x"}`: "seed", `{"limits":{}}`: "", "": "",
	} {
		os.WriteFile(overlay, []byte(text), 0o600)
		hash, err := d.Import(path, overlay)
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("Import with overlay %q: got error %v, want one that contains %q, or none if that is empty", text, err, want)
		}
		if complete := d.Status(hash).Complete; complete != (want == "") && hash != "" {
			t.Errorf("after Import with overlay %q: complete = %v, want %v", text, complete, want == "")
		}
	}
}

// TestIncomingIsBounded checks that releases that are never received completely do not
// accumulate.
func TestIncomingIsBounded(t *testing.T) {
	d, root, _ := newDir(t, "x")
	for n := range 20 {
		if err := d.Write(strings.Repeat(string("0123456789abcdef0123"[n]), 63)+"0", Sidecar, 0, []byte("x")); err != nil {
			t.Fatalf("writing to release %d: %v", n, err)
		}
	}
	if entries, err := os.ReadDir(filepath.Join(root, "releases", "incoming")); err != nil || len(entries) > maxIncoming {
		t.Errorf("%d releases are being received (error %v), want at most %d", len(entries), err, maxIncoming)
	}
}

// TestPruneKeepsUsedAndSpare checks that Prune retains the releases in use and the given
// number of others.
func TestPruneKeepsUsedAndSpare(t *testing.T) {
	d, root, _ := newDir(t, "x")
	var hashes []string
	for _, text := range []string{"a", "b", "c", "d"} {
		path := filepath.Join(root, text)
		os.WriteFile(path, []byte(text), 0o700)
		hash, err := d.Import(path, "")
		if err != nil {
			t.Fatalf("Import of program %q: %v", text, err)
		}
		hashes = append(hashes, hash)
	}
	if err := d.Prune(hashes[:1], 1); err != nil {
		t.Fatalf("Prune: %v", err)
	}
	left := 0
	for _, hash := range hashes[1:] {
		if d.Verify(hash) == nil {
			left++
		}
	}
	if d.Verify(hashes[0]) != nil || left != 1 {
		t.Errorf("after Prune: Verify of the release in use = %v, want nil; %d of 3 others remain, want 1", d.Verify(hashes[0]), left)
	}
}
