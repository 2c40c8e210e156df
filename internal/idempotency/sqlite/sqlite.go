// Package sqlite stores idempotency entries in a SQLite file of limited size. Its
// write-ahead log is synced at each commit. One sidecar owns a file; meanwhile the commands
// of `martendrum record` may read the file and settle entries. Each Apply is one
// transaction with one sync for all its ops. Package idempotency decides how an op changes
// an entry.
package sqlite

import (
	"context"
	"database/sql"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"martendrum/internal/filelock"
	"martendrum/internal/idempotency"
	"martendrum/internal/sqlitefile"
)

const (
	pageSize = 4096 // bytes
	// minPages is the lowest limit of a file's size. It is enough for an empty schema and a few
	// entries.
	minPages = 64
	// maxClaimUsage is the fraction of the maximum size above which claims are rejected, so
	// that the outcomes of requests in flight can still be written.
	maxClaimUsage = 0.9
	// maxGaps is the maximum number of gaps that are stored; older ones are deleted.
	maxGaps = 1000
	// maxSweptPages is the number of free pages that one Sweep returns to the file system.
	maxSweptPages = 64
	openTimeout   = 30 * time.Second
	// maxConnections is enough for one writer and one reader.
	maxConnections = 2
)

// Config says which file is opened and how it is used.
type Config struct {
	Path      string
	MaxBytes  int64 // maximum size of the file; a value below minPages pages counts as minPages pages
	Retention idempotency.Retention
	// Owner opens the file for a sidecar that owns it alone. Open creates the file if it does
	// not exist, and ends the claims that a previous owner left in flight. If neither Owner
	// nor Lock is set, the file must exist.
	Owner bool
	// Lock, if set, is the file's lock that a running process obtained from Store.Lock and
	// passed to this one. Both processes then own the file: the other's claims stay in
	// flight, and the schema is not migrated. The Store closes Lock.
	Lock *os.File
}

// Store is an idempotency store in a file. It implements idempotency.Backend.
type Store struct {
	config Config
	db     *sql.DB
	lock   *os.File
	// shared is set when another process may own the file together with this one.
	shared   atomic.Bool
	clock    idempotency.Clock
	maxPages int64

	mu         sync.Mutex // held by each writer
	getEntry   *sql.Stmt
	putEntry   *sql.Stmt
	countPages *sql.Stmt
}

// Open opens a store's file. An owner also creates the file if there is none, and migrates
// its schema. Errors name the file and what the operator can do.
func Open(ctx context.Context, config Config) (*Store, error) { return open(ctx, config, Version) }

// open opens a file and migrates its schema to a version. A Store of an older version than
// Version can only be closed.
func open(ctx context.Context, config Config, version int) (_ *Store, err error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	s := &Store{config: config, maxPages: max(config.MaxBytes/pageSize, minPages)}
	defer func() {
		if err != nil {
			s.Close()
			err = fmt.Errorf("record %s: %w", config.Path, err)
		}
	}()
	if err := s.claimFile(); err != nil {
		return nil, err
	}
	s.db, err = sqlitefile.Open(config.Path, "busy_timeout(3000)", "auto_vacuum(2)", "journal_mode(WAL)", "synchronous(FULL)",
		fmt.Sprintf("max_page_count(%d)", s.maxPages), "journal_size_limit(4194304)", "cache_size(-1024)")
	if err != nil {
		return nil, err
	}
	s.db.SetMaxOpenConns(maxConnections)
	if err := s.migrate(ctx, version); err != nil {
		return nil, err
	}
	if version < Version {
		return s, nil
	}
	if err := s.prepare(ctx); err != nil {
		return nil, withAdvice(err)
	}
	return s, nil
}

// claimFile acquires or adopts the file's lock. If this process is not to own the file,
// claimFile only checks that the file exists.
func (s *Store) claimFile() error {
	switch {
	case s.config.Lock != nil:
		s.lock = s.config.Lock
		s.shared.Store(true)
		return s.adoptLock()
	case s.config.Owner:
		return s.acquireLock()
	}
	if _, err := os.Stat(s.config.Path); err != nil {
		return &FileError{Next: "there is no such file; a sidecar creates it at its first start", Cause: err}
	}
	return nil
}

// Close closes the file and releases its lock, unless another process may have the lock too.
func (s *Store) Close() (err error) {
	if s.db != nil {
		err = s.db.Close()
	}
	switch {
	case s.lock == nil:
	case s.shared.Load():
		s.lock.Close() // the other process keeps the lock
	default:
		filelock.Release(s.lock)
	}
	return err
}
