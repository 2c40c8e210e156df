package release

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// files creates a program file and an empty folder of releases.
func files(t *testing.T, program string) (dir *Dir, root, path string) {
	t.Helper()
	root = t.TempDir()
	path = filepath.Join(root, "program")
	if err := os.WriteFile(path, []byte(program), 0o700); err != nil {
		t.Fatal(err)
	}
	dir, err := Open(filepath.Join(root, "releases"))
	if err != nil {
		t.Fatal(err)
	}
	return dir, root, path
}

// A release that was not received completely can never be started, wherever it was cut off,
// and is removed by a new owner.
func TestIncompleteRelease(t *testing.T) {
	d, root, path := files(t, "0123456789")
	hash, err := Hash(path, "")
	if err != nil {
		t.Fatal(err)
	}
	for n := range 10 {
		if err := d.Write(hash, Sidecar, int64(n), []byte("0123456789")[n:n+1]); err != nil {
			t.Fatal(err)
		}
		if got := d.Status(hash); got.Complete || got.Sidecar != int64(n+1) {
			t.Fatalf("after %d bytes: %+v", n+1, got)
		}
		if err := d.Verify(hash); !errors.Is(err, ErrNotFound) {
			t.Fatalf("after %d bytes it can be started: %v", n+1, err)
		}
	}
	if d, err = Open(filepath.Join(root, "releases")); err != nil {
		t.Fatal(err)
	}
	if got := d.Status(hash).Sidecar; got != 0 {
		t.Errorf("%d bytes of an incomplete release remain", got)
	}
	d.Write(hash, Sidecar, 0, []byte("012345678"))
	if err := d.Commit(hash); err == nil {
		t.Error("a release that lacks its last byte was accepted")
	}
	if err := d.Write(hash, Sidecar, 0, []byte("0123456789")); err != nil {
		t.Fatal(err)
	}
	for range 2 { // repeating it is harmless
		if err := d.Commit(hash); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.Verify(hash); err != nil {
		t.Error(err)
	}
	os.WriteFile(d.Path(hash, Sidecar), []byte("0123456780"), 0o700)
	if err := d.Verify(hash); err == nil || !strings.Contains(err.Error(), "damaged") {
		t.Errorf("a program changed on the disk: %v", err)
	}
	if again, err := d.Import(path, ""); err != nil || again != hash || d.Verify(hash) != nil {
		t.Errorf("import does not repair it: %v", err)
	}
}

func TestOverlays(t *testing.T) {
	d, root, path := files(t, "x")
	overlay := filepath.Join(root, "o.json")
	for text, want := range map[string]string{
		"{": "JSON", "[]": "object", `{"listen":"x"}`: "listen", `{"seed":"x"}`: "seed", `{"limits":{}}`: "", "": "",
	} {
		os.WriteFile(overlay, []byte(text), 0o600)
		hash, err := d.Import(path, overlay)
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v; want %q", text, err, want)
		}
		if complete := d.Status(hash).Complete; complete != (want == "") && hash != "" {
			t.Errorf("%q: complete %v", text, complete)
		}
	}
}

// Releases that are never received completely do not accumulate.
func TestIncomingIsBounded(t *testing.T) {
	d, root, _ := files(t, "x")
	for n := range 20 {
		if err := d.Write(strings.Repeat(string("0123456789abcdef0123"[n]), 63)+"0", Sidecar, 0, []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	if e, err := os.ReadDir(filepath.Join(root, "releases", "incoming")); err != nil || len(e) > maxIncoming {
		t.Errorf("%d are being received, %v", len(e), err)
	}
}

func TestPruneKeepsUsedAndSpare(t *testing.T) {
	d, root, _ := files(t, "x")
	var hashes []string
	for _, text := range []string{"a", "b", "c", "d"} {
		path := filepath.Join(root, text)
		os.WriteFile(path, []byte(text), 0o700)
		h, err := d.Import(path, "")
		if err != nil {
			t.Fatal(err)
		}
		hashes = append(hashes, h)
	}
	if err := d.Prune(hashes[:1], 1); err != nil {
		t.Fatal(err)
	}
	left := 0
	for _, h := range hashes[1:] {
		if d.Verify(h) == nil {
			left++
		}
	}
	if d.Verify(hashes[0]) != nil || left != 1 {
		t.Errorf("the one in use: %v; %d of three others are left", d.Verify(hashes[0]), left)
	}
}
