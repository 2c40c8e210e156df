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

// testConfig returns the configuration of a file's owner, with a maximum size of 16 MiB.
func testConfig(path string) Config {
	return Config{Path: path, MaxBytes: 16 << 20, Retention: bt.Retention, Owner: true}
}

// mustOpen opens a store that is closed when the test ends.
func mustOpen(t *testing.T, config Config) *Store {
	t.Helper()
	store, err := Open(ctx, config)
	if err != nil {
		t.Fatalf("open the store %s: %v", config.Path, err)
	}
	t.Cleanup(func() { store.Close() })
	return store
}

// TestBackend runs the tests of all backends. The file's name has characters that are
// special in a URL, as the driver receives the path in a URL.
func TestBackend(t *testing.T) {
	bt.Run(t, func(t *testing.T) idempotency.Backend {
		return mustOpen(t, testConfig(filepath.Join(t.TempDir(), "a b?#%.db")))
	})
}

// TestPragmas checks the pragmas that durability and the maximum size rely on.
func TestPragmas(t *testing.T) {
	store := mustOpen(t, testConfig(filepath.Join(t.TempDir(), "r.db")))
	for pragma, want := range map[string]string{"journal_mode": "wal", "synchronous": "2", "auto_vacuum": "2", "max_page_count": "4096"} {
		var got string
		if store.db.QueryRow("PRAGMA " + pragma).Scan(&got); got != want {
			t.Errorf("PRAGMA %s = %s, want %s", pragma, got, want)
		}
	}
}

// TestRestart checks that the next owner of a file ends the claims that the previous owner
// left in flight, although their leases have not expired.
func TestRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.db")
	store := mustOpen(t, testConfig(path))
	bt.Apply(t, store, bt.Claim("sent", "a", time.Hour), bt.Send("sent", "a", 0), bt.Claim("unsent", "b", time.Hour),
		bt.Claim("done", "c", time.Hour), bt.Send("done", "c", 0), bt.End("done", "c", idempotency.Answered))
	store.Close()
	store = mustOpen(t, testConfig(path))
	bt.Expect(t, store, bt.Claim("sent", "x", time.Hour), idempotency.Unsettled)
	bt.Expect(t, store, bt.Claim("unsent", "x", time.Hour), idempotency.Granted)
	bt.Expect(t, store, bt.Claim("done", "x", time.Hour), idempotency.AlreadyAnswered)
}

// TestSharedOwnership checks a file that two processes own during a hand-over: the claims of
// each stay in flight while either has the file open, no third process can own the file, and
// the next owner after both ends the claims that they left.
func TestSharedOwnership(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.db")
	predecessor := mustOpen(t, testConfig(path))
	bt.Apply(t, predecessor, bt.Claim("k", "a", time.Hour), bt.Send("k", "a", 0))
	descriptor, err := syscall.Dup(int(predecessor.Lock().Fd()))
	if err != nil {
		t.Fatalf("duplicate the lock's file descriptor: %v", err)
	}
	config := testConfig(path)
	config.Lock = os.NewFile(uintptr(descriptor), "passed")
	successor := mustOpen(t, config)
	bt.Expect(t, successor, bt.Claim("k", "b", time.Hour), idempotency.Busy)
	bt.Apply(t, successor, bt.Claim("n", "b", time.Hour), bt.Send("n", "b", 0))
	bt.Apply(t, predecessor, bt.End("k", "a", idempotency.Answered))
	bt.Expect(t, successor, bt.Claim("k", "c", time.Hour), idempotency.AlreadyAnswered)
	predecessor.Close()
	if third, err := Open(ctx, testConfig(path)); err == nil || !strings.Contains(err.Error(), fmt.Sprintf("locked by process %d", os.Getpid())) {
		t.Errorf("a third owner opens the file: got %v, error %v; want an error containing \"locked by process %d\"", third, err, os.Getpid())
	}
	bt.Expect(t, successor, bt.Claim("n", "c", time.Hour), idempotency.Busy)
	successor.Close()
	last := mustOpen(t, testConfig(path))
	bt.Expect(t, last, bt.Claim("n", "d", time.Hour), idempotency.Unsettled)
	// Open rejects and closes the lock of another file.
	other := testConfig(filepath.Join(t.TempDir(), "other.db"))
	mustOpen(t, other).Close()
	if descriptor, err = syscall.Dup(int(last.Lock().Fd())); err != nil {
		t.Fatalf("duplicate the lock's file descriptor: %v", err)
	}
	other.Lock = os.NewFile(uintptr(descriptor), "passed")
	if _, err := Open(ctx, other); err == nil || !strings.Contains(err.Error(), "owns another file") {
		t.Errorf("open with the lock of another file: got error %v, want one containing \"owns another file\"", err)
	}
}

// TestMigrations checks that a file of each earlier schema version is migrated.
func TestMigrations(t *testing.T) {
	for from := range Version {
		path := filepath.Join(t.TempDir(), "r.db")
		older, err := open(ctx, testConfig(path), from)
		if err != nil {
			t.Fatalf("create a file with schema version %d: %v", from, err)
		}
		older.Close()
		store := mustOpen(t, testConfig(path))
		bt.Expect(t, store, bt.Claim("k", "a", time.Hour), idempotency.Granted)
		if err := store.WriteGap(ctx, idempotency.Gap{Class: "x"}); err != nil {
			t.Errorf("write a gap to a file migrated from schema version %d: %v", from, err)
		}
	}
}

// fill writes up to 5000 answered keys until the store returns an error. It returns the
// number of written keys and the error.
func fill(t *testing.T, store *Store) (written int, err error) {
	t.Helper()
	for ; written < 5000; written++ {
		key := fmt.Sprint("fill", written)
		end := bt.End(key, key, idempotency.Answered)
		end.Answer = make([]byte, 20000)
		if err = store.Apply(ctx, []*idempotency.Op{bt.Claim(key, key, time.Hour), bt.Send(key, key, 0), end}); err != nil {
			break
		}
	}
	return written, err
}

// TestFull checks that a full store rejects new keys, stores the outcomes of requests in
// flight, loses no entry, does not exceed its maximum size, and accepts keys again once
// there is space.
func TestFull(t *testing.T) {
	config := testConfig(filepath.Join(t.TempDir(), "r.db"))
	config.MaxBytes = 1 << 20
	store := mustOpen(t, config)
	bt.Apply(t, store, bt.Claim("flying", "f", time.Hour), bt.Send("flying", "f", 0))
	written, err := fill(t, store)
	if !errors.Is(err, idempotency.ErrFull) || !strings.Contains(err.Error(), config.Path) {
		t.Fatalf("after %d written keys: got error %v, want ErrFull with the path %s", written, err, config.Path)
	}
	bt.Expect(t, store, bt.End("flying", "f", idempotency.Answered), idempotency.Granted)
	for n := range written {
		if entry, err := store.Get(ctx, "activate", fmt.Sprint("fill", n)); err != nil || entry.State != idempotency.Answered {
			t.Fatalf("key %d of %d in the full store: got state %q, error %v; want %q", n, written, entry.State, err, idempotency.Answered)
		}
	}
	time.Sleep(2 * time.Millisecond)
	if swept, err := store.Sweep(ctx, idempotency.Retention{Answered: time.Millisecond, NeverRan: time.Hour, Unsettled: time.Hour}, 10000); err != nil || swept == 0 {
		t.Fatalf("Sweep() of the full store = %d, %v; want deleted entries", swept, err)
	}
	bt.Expect(t, store, bt.Claim("new", "n", time.Hour), idempotency.Granted)
	if file, err := os.Stat(config.Path); err != nil || file.Size() > 1<<20 {
		t.Errorf("size of the file: got %d bytes, error %v; want at most %d bytes", file.Size(), err, 1<<20)
	}
}

// TestUnusableFile checks that Open of a file that can't be used returns an error with the
// path and the operator's next step, and that a file that is no database stays unchanged.
func TestUnusableFile(t *testing.T) {
	directory := t.TempDir()
	path := func(name string) string { return filepath.Join(directory, name) }
	noise := []byte(strings.Repeat("this is no database ", 1000))
	os.WriteFile(path("noise"), noise, 0o600)
	newer := mustOpen(t, testConfig(path("newer")))
	newer.db.Exec("PRAGMA user_version = 99")
	newer.Close()
	held := mustOpen(t, testConfig(path("held")))
	for name, want := range map[string]string{"noise": "move them aside", "newer": "run the newer build", "held": fmt.Sprint("locked by process ", os.Getpid()), "none/x": "folder"} {
		store, err := Open(ctx, testConfig(path(name)))
		if err == nil {
			store.Close()
		}
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), path(name)) {
			t.Errorf("open the file %s: got error %v, want one containing %q and the path %s", name, err, want, path(name))
		}
	}
	if got, _ := os.ReadFile(path("noise")); string(got) != string(noise) {
		t.Errorf("content of the file that is no database after Open: got %d bytes that differ, want the unchanged %d bytes", len(got), len(noise))
	}
	bt.Expect(t, held, bt.Claim("k", "a", time.Hour), idempotency.Granted)
}

// batches is the number of batches that are written to a file before it is damaged.
const batches = 12

// batchKey returns the key of a batch.
func batchKey(n int) string { return fmt.Sprintf("k%02d", n) }

// writeBatches writes one answered key in each batch. It returns the length of the
// write-ahead log after each batch.
func writeBatches(t *testing.T, store *Store, path string) (logSizes [batches]int64) {
	t.Helper()
	for n := range batches {
		key := batchKey(n)
		bt.Apply(t, store, bt.Claim(key, key, time.Hour), bt.Send(key, key, 0), bt.End(key, key, idempotency.Answered))
		log, err := os.Stat(path + "-wal")
		if err != nil {
			t.Fatalf("read the size of the write-ahead log: %v", err)
		}
		logSizes[n] = log.Size()
	}
	return logSizes
}

// TestTornLog checks a store whose write-ahead log was cut at one of many places, as after a
// power loss, with and without a damaged byte near its end. Open must either fail with an
// error that names the file, or return a store that has the first batches and nothing else.
func TestTornLog(t *testing.T) {
	path := filepath.Join(t.TempDir(), "intact")
	store := mustOpen(t, testConfig(path))
	logSizes := writeBatches(t, store, path)
	content, _ := os.ReadFile(path)
	wal, _ := os.ReadFile(path + "-wal")
	opened := 0
	for cut := 0; cut <= len(wal); cut += 1013 {
		for _, flip := range []bool{false, true} {
			torn := append([]byte(nil), wal[:cut]...)
			if flip && cut > 40 {
				torn[cut-20] ^= 0x55
			}
			damaged := filepath.Join(t.TempDir(), "torn")
			os.WriteFile(damaged, content, 0o600)
			os.WriteFile(damaged+"-wal", torn, 0o600)
			tornStore, err := Open(ctx, testConfig(damaged))
			if err != nil {
				if !strings.Contains(err.Error(), damaged) {
					t.Fatalf("open the store with a log cut at %d: got error %v, want one with the path %s", cut, err, damaged)
				}
				continue
			}
			opened++
			checkFirstBatches(t, tornStore, logSizes, cut, flip)
			tornStore.Close()
		}
	}
	t.Logf("%d stores with a torn log could be opened", opened)
}

// checkFirstBatches checks that a store whose log was cut has the first batches without a gap
// between them. If no byte was flipped, it must have all batches that ended before the cut.
func checkFirstBatches(t *testing.T, store *Store, logSizes [batches]int64, cut int, flipped bool) {
	t.Helper()
	missing := false
	for n := range batches {
		entry, err := store.Get(ctx, "activate", batchKey(n))
		if err != nil || entry.State != idempotency.Unknown && entry.State != idempotency.Answered {
			t.Fatalf("log cut at %d: Get of key %d = %+v, %v; want a complete entry or none", cut, n, entry, err)
		}
		if entry.State == idempotency.Unknown {
			missing = true
		} else if missing {
			t.Fatalf("log cut at %d: the store has key %d but not an earlier one, want no key after a missing one", cut, n)
		}
		if !flipped && entry.State == idempotency.Unknown && logSizes[n] <= int64(cut) {
			t.Fatalf("log cut at %d: key %d is missing although its batch ended at %d", cut, n, logSizes[n])
		}
	}
}

// TestDamagedPages damages each page of a file but the first, one at a time, and checks that
// Open or Check finds the damage of at least one of them.
func TestDamagedPages(t *testing.T) {
	path := filepath.Join(t.TempDir(), "intact")
	store := mustOpen(t, testConfig(path))
	writeBatches(t, store, path)
	store.Close()
	intact, _ := os.ReadFile(path)
	found := 0
	for page := pageSize; page < len(intact); page += pageSize {
		damaged := filepath.Join(t.TempDir(), "damaged")
		content := append([]byte(nil), intact...)
		for i := page; i < page+64; i++ {
			content[i] ^= 0xa5
		}
		os.WriteFile(damaged, content, 0o600)
		damagedStore, err := Open(ctx, testConfig(damaged))
		if err != nil {
			found++
			continue
		}
		problems, err := damagedStore.Check(ctx)
		if err != nil || len(problems) > 0 {
			found++
		}
		damagedStore.Close()
	}
	if found == 0 {
		t.Error("neither Open nor Check found damage in any file with a damaged page, want it found in at least one")
	}
	t.Logf("damage was found in %d of %d pages", found, len(intact)/pageSize-1)
}

// TestSettleBesideOwner checks that a process that does not own the file can settle a key
// while the owner runs, and that its Open does not create a missing file.
func TestSettleBesideOwner(t *testing.T) {
	config := testConfig(filepath.Join(t.TempDir(), "r.db"))
	owner := mustOpen(t, config)
	bt.Apply(t, owner, bt.Claim("k", "a", time.Hour), bt.Send("k", "a", 0), bt.End("k", "a", idempotency.MayHaveRun))
	config.Owner = false
	nonOwner := mustOpen(t, config)
	bt.Expect(t, nonOwner, &idempotency.Op{Kind: idempotency.Settle, Class: "activate", Key: "k", Outcome: idempotency.NeverRan, SettledBy: "sari"}, idempotency.Granted)
	bt.Expect(t, owner, bt.Claim("k", "b", time.Hour), idempotency.Granted)
	config.Path += "x"
	if _, err := Open(ctx, config); err == nil || !strings.Contains(err.Error(), "no such file") {
		t.Errorf("open a file that does not exist: got error %v, want one containing \"no such file\"", err)
	}
}
