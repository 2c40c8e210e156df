// Package sqlite is an idempotency store in a SQLite file of bounded size, with a
// write-ahead log that is synced at each commit. One sidecar owns a file;
// `martendrum record` may read it and settle entries meanwhile. Each Apply is one
// transaction and one sync, which the ops of a batch share. What an op does to an entry
// is decided by package idempotency.
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
	pageSize = 4096
	// minPages is the smallest bound: an empty schema and a few entries.
	minPages = 64
	// maxClaimUsage is the used fraction of the bound above which claims are rejected, so
	// that requests in flight can still be completed.
	maxClaimUsage = 0.9
	// maxGaps is how many gaps are stored; older ones are dropped.
	maxGaps = 1000
	// maxSweptPages are returned to the file system by one Sweep.
	maxSweptPages = 64
	openTimeout   = 30 * time.Second
	// maxConnections allows one writer and one reader.
	maxConnections = 2
)

// Config says which file, and how it is used.
type Config struct {
	Path      string
	MaxBytes  int64
	Retention idempotency.Retention
	// Owner opens the file for one sidecar and settles what a previous owner left in
	// flight. Without it the file must exist.
	Owner bool
	// Lock, where set, is the file's lock as a live process passed it on (Store.Lock). Both
	// processes own the file then: what the other has in flight stays, and the schema is not
	// changed. The Store closes the lock.
	Lock *os.File
}

// Store is an idempotency store in a file.
type Store struct {
	config Config
	db     *sql.DB
	lock   *os.File
	// shared is set once another process may own the file together with this one.
	shared   atomic.Bool
	clock    idempotency.Clock
	maxPages int64

	mu         sync.Mutex // serialises writers and guards the prepared statements
	getEntry   *sql.Stmt
	putEntry   *sql.Stmt
	countPages *sql.Stmt
}

// Open opens the file, creates it if there is none, and migrates its schema. Errors
// name the file and the next step.
func Open(ctx context.Context, config Config) (*Store, error) { return open(ctx, config, Version) }

// open opens a file at a schema version; below Version, only the schema is written.
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

// claimFile takes or adopts the file's lock, or checks that the file exists.
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
		return &FileError{Next: "there is no such file; a sidecar makes it at its first start", Cause: err}
	}
	return nil
}

// Close closes the file and releases its lock, unless another process has it too.
func (s *Store) Close() (err error) {
	if s.db != nil {
		err = s.db.Close()
	}
	switch {
	case s.lock == nil:
	case s.shared.Load():
		s.lock.Close() // the other process keeps it
	default:
		filelock.Release(s.lock)
	}
	return err
}
