package sqlite

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"martendrum/internal/idempotency"
	bt "martendrum/internal/idempotency/backendtest"
)

var ctx = context.Background()

func cfg(path string) Config {
	return Config{Path: path, MaxBytes: 16 << 20, Retention: bt.Retention, Owner: true}
}

func mustOpen(t *testing.T, c Config) *Store {
	t.Helper()
	s, err := Open(ctx, c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func TestBackend(t *testing.T) {
	bt.Run(t, func(t *testing.T) idempotency.Backend {
		return mustOpen(t, cfg(filepath.Join(t.TempDir(), "a b?#%.db")))
	})
}

func TestPragmas(t *testing.T) {
	s := mustOpen(t, cfg(filepath.Join(t.TempDir(), "r.db")))
	for pragma, want := range map[string]string{"journal_mode": "wal", "synchronous": "2", "auto_vacuum": "2", "max_page_count": "4096"} {
		var got string
		if s.db.QueryRow("PRAGMA " + pragma).Scan(&got); got != want {
			t.Errorf("%s is %s, want %s", pragma, got, want)
		}
	}
}

// TestRestart checks that what a dead owner left in flight is settled at the next start,
// whatever the clock says.
func TestRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.db")
	s := mustOpen(t, cfg(path))
	bt.Apply(t, s, bt.Claim("sent", "a", time.Hour), bt.Send("sent", "a", 0), bt.Claim("unsent", "b", time.Hour),
		bt.Claim("done", "c", time.Hour), bt.Send("done", "c", 0), bt.End("done", "c", idempotency.Answered))
	s.Close()
	s = mustOpen(t, cfg(path))
	bt.Expect(t, s, bt.Claim("sent", "x", time.Hour), idempotency.Unsettled)
	bt.Expect(t, s, bt.Claim("unsent", "x", time.Hour), idempotency.Granted)
	bt.Expect(t, s, bt.Claim("done", "x", time.Hour), idempotency.AlreadyAnswered)
}

// TestSharedOwnership checks that of two processes that share a file's ownership, what each
// has in flight stays as long as either lives, that no third one opens the file, and that
// the next sole owner settles what both left.
func TestSharedOwnership(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.db")
	old := mustOpen(t, cfg(path))
	bt.Apply(t, old, bt.Claim("k", "a", time.Hour), bt.Send("k", "a", 0))
	passed, err := syscall.Dup(int(old.Lock().Fd()))
	if err != nil {
		t.Fatal(err)
	}
	c := cfg(path)
	c.Lock = os.NewFile(uintptr(passed), "passed")
	next := mustOpen(t, c)
	bt.Expect(t, next, bt.Claim("k", "b", time.Hour), idempotency.Busy)
	bt.Apply(t, next, bt.Claim("n", "b", time.Hour), bt.Send("n", "b", 0))
	bt.Apply(t, old, bt.End("k", "a", idempotency.Answered))
	bt.Expect(t, next, bt.Claim("k", "c", time.Hour), idempotency.AlreadyAnswered)
	old.Close()
	if s, err := Open(ctx, cfg(path)); err == nil || !strings.Contains(err.Error(), fmt.Sprintf("locked by process %d", os.Getpid())) {
		t.Errorf("a third owner: %v %v", s, err)
	}
	bt.Expect(t, next, bt.Claim("n", "c", time.Hour), idempotency.Busy)
	next.Close()
	last := mustOpen(t, cfg(path))
	bt.Expect(t, last, bt.Claim("n", "d", time.Hour), idempotency.Unsettled)
	// The lock of another file is rejected, and closed.
	other := cfg(filepath.Join(t.TempDir(), "other.db"))
	mustOpen(t, other).Close()
	if passed, err = syscall.Dup(int(last.Lock().Fd())); err != nil {
		t.Fatal(err)
	}
	other.Lock = os.NewFile(uintptr(passed), "passed")
	if _, err := Open(ctx, other); err == nil || !strings.Contains(err.Error(), "owns another file") {
		t.Errorf("another file's ownership: %v", err)
	}
}

func TestMigrations(t *testing.T) {
	for from := range Version {
		path := filepath.Join(t.TempDir(), "r.db")
		old, err := open(ctx, cfg(path), from)
		if err != nil {
			t.Fatal(err)
		}
		old.Close()
		s := mustOpen(t, cfg(path))
		bt.Expect(t, s, bt.Claim("k", "a", time.Hour), idempotency.Granted)
		if err := s.Gap(ctx, idempotency.Gap{Class: "x"}); err != nil {
			t.Error(from, err)
		}
	}
}

// fill writes keys until the store is full and returns how many it has written.
func fill(t *testing.T, s *Store) (n int, err error) {
	t.Helper()
	for ; n < 5000; n++ {
		key := fmt.Sprint("fill", n)
		end := bt.End(key, key, idempotency.Answered)
		end.Answer = make([]byte, 20000)
		if err = s.Apply(ctx, []*idempotency.Op{bt.Claim(key, key, time.Hour), bt.Send(key, key, 0), end}); err != nil {
			break
		}
	}
	return n, err
}

// TestFull checks that a full store rejects new keys, stores the outcomes of those in
// flight, loses nothing, and accepts keys again when it has space.
func TestFull(t *testing.T) {
	c := cfg(filepath.Join(t.TempDir(), "r.db"))
	c.MaxBytes = 1 << 20
	s := mustOpen(t, c)
	bt.Apply(t, s, bt.Claim("flying", "f", time.Hour), bt.Send("flying", "f", 0))
	n, err := fill(t, s)
	if !errors.Is(err, idempotency.ErrFull) || !strings.Contains(err.Error(), c.Path) {
		t.Fatalf("after %d: %v", n, err)
	}
	bt.Expect(t, s, bt.End("flying", "f", idempotency.Answered), idempotency.Granted)
	for k := range n {
		if row, err := s.Get(ctx, "activate", fmt.Sprint("fill", k)); err != nil || row.State != idempotency.Answered {
			t.Fatalf("%d of %d: %+v %v", k, n, row.State, err)
		}
	}
	time.Sleep(2 * time.Millisecond)
	if n, err := s.Sweep(ctx, idempotency.Retention{Answered: time.Millisecond, NeverRan: time.Hour, Unsettled: time.Hour}, 10000); err != nil || n == 0 {
		t.Fatal(n, err)
	}
	bt.Expect(t, s, bt.Claim("new", "n", time.Hour), idempotency.Granted)
	if st, err := os.Stat(c.Path); err != nil || st.Size() > 1<<20 {
		t.Error(st.Size(), err)
	}
}

// TestUnusableFile checks that files that can't be used are reported at start, with the
// next step, and left as they are.
func TestUnusableFile(t *testing.T) {
	directory := t.TempDir()
	path := func(name string) string { return filepath.Join(directory, name) }
	noise := []byte(strings.Repeat("this is no database ", 1000))
	os.WriteFile(path("noise"), noise, 0o600)
	newer := mustOpen(t, cfg(path("newer")))
	newer.db.Exec("PRAGMA user_version = 99")
	newer.Close()
	held := mustOpen(t, cfg(path("held")))
	for name, want := range map[string]string{"noise": "move them aside", "newer": "run the newer build", "held": fmt.Sprint("locked by process ", os.Getpid()), "none/x": "folder"} {
		s, err := Open(ctx, cfg(path(name)))
		if err == nil {
			s.Close()
		}
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), path(name)) {
			t.Errorf("%s: %v; want it to say %q", name, err, want)
		}
	}
	if got, _ := os.ReadFile(path("noise")); string(got) != string(noise) {
		t.Error("the damaged file was changed")
	}
	bt.Expect(t, held, bt.Claim("k", "a", time.Hour), idempotency.Granted)
}

// batches is how many batches are written to a file that is damaged later.
const batches = 12

func batchKey(n int) string { return fmt.Sprintf("k%02d", n) }

// writeBatches writes one answered key in each batch and returns the log's length after
// each.
func writeBatches(t *testing.T, s *Store, path string) (ends [batches]int64) {
	t.Helper()
	for n := range batches {
		key := batchKey(n)
		bt.Apply(t, s, bt.Claim(key, key, time.Hour), bt.Send(key, key, 0), bt.End(key, key, idempotency.Answered))
		log, err := os.Stat(path + "-wal")
		if err != nil {
			t.Fatal(err)
		}
		ends[n] = log.Size()
	}
	return ends
}

// TestTornLog checks that a log that is cut at each of many places holds the first
// batches, all complete, or is reported as damaged. Nothing is made up.
func TestTornLog(t *testing.T) {
	path := filepath.Join(t.TempDir(), "live")
	live := mustOpen(t, cfg(path))
	ends := writeBatches(t, live, path)
	main, _ := os.ReadFile(path)
	wal, _ := os.ReadFile(path + "-wal")
	opened := 0
	for cut := 0; cut <= len(wal); cut += 1013 {
		for _, flip := range []bool{false, true} {
			torn := append([]byte(nil), wal[:cut]...)
			if flip && cut > 40 {
				torn[cut-20] ^= 0x55
			}
			damaged := filepath.Join(t.TempDir(), "torn")
			os.WriteFile(damaged, main, 0o600)
			os.WriteFile(damaged+"-wal", torn, 0o600)
			s, err := Open(ctx, cfg(damaged))
			if err != nil {
				if !strings.Contains(err.Error(), damaged) {
					t.Fatal(err)
				}
				continue
			}
			opened++
			checkFirstBatches(t, s, ends, cut, flip)
			s.Close()
		}
	}
	t.Logf("%d torn logs opened", opened)
}

// checkFirstBatches checks that a store with a log that was cut holds the first batches
// and no later one; without a flipped byte, those that end before the cut.
func checkFirstBatches(t *testing.T, s *Store, ends [batches]int64, cut int, flipped bool) {
	t.Helper()
	missing := false
	for n := range batches {
		entry, err := s.Get(ctx, "activate", batchKey(n))
		if err != nil || entry.State != idempotency.Unknown && entry.State != idempotency.Answered {
			t.Fatalf("cut at %d: key %d is %+v %v", cut, n, entry, err)
		}
		if entry.State == idempotency.Unknown {
			missing = true
		} else if missing {
			t.Fatalf("cut at %d: key %d is there and one before it is not", cut, n)
		}
		if !flipped && entry.State == idempotency.Unknown && ends[n] <= int64(cut) {
			t.Fatalf("cut at %d: key %d was complete and is missing", cut, n)
		}
	}
}

// TestDamagedPages checks that damage within the file is found at start or by Check.
func TestDamagedPages(t *testing.T) {
	path := filepath.Join(t.TempDir(), "live")
	live := mustOpen(t, cfg(path))
	writeBatches(t, live, path)
	live.Close()
	intact, _ := os.ReadFile(path)
	found := 0
	for page := pageSize; page < len(intact); page += pageSize {
		damaged := filepath.Join(t.TempDir(), "hurt")
		content := append([]byte(nil), intact...)
		for i := page; i < page+64; i++ {
			content[i] ^= 0xa5
		}
		os.WriteFile(damaged, content, 0o600)
		s, err := Open(ctx, cfg(damaged))
		if err != nil {
			found++
			continue
		}
		problems, err := s.Check(ctx)
		if err != nil || len(problems) > 0 {
			found++
		}
		s.Close()
	}
	if found == 0 {
		t.Error("no damage was found")
	}
	t.Logf("damage found in %d of %d pages", found, len(intact)/pageSize-1)
}

// TestReaderBesideOwner checks that a reader beside the owner can settle a key, and needs
// an existing file.
func TestReaderBesideOwner(t *testing.T) {
	c := cfg(filepath.Join(t.TempDir(), "r.db"))
	owner := mustOpen(t, c)
	bt.Apply(t, owner, bt.Claim("k", "a", time.Hour), bt.Send("k", "a", 0), bt.End("k", "a", idempotency.MayHaveRun))
	c.Owner = false
	staff := mustOpen(t, c)
	bt.Expect(t, staff, &idempotency.Op{Kind: idempotency.Settle, Class: "activate", Key: "k", Outcome: idempotency.NeverRan, SettledBy: "sari"}, idempotency.Granted)
	bt.Expect(t, owner, bt.Claim("k", "b", time.Hour), idempotency.Granted)
	c.Path += "x"
	if _, err := Open(ctx, c); err == nil || !strings.Contains(err.Error(), "no such file") {
		t.Error(err)
	}
}
