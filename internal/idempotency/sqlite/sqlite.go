// Package sqlite keeps a sidecar's record in a SQLite file: write-ahead log, full
// synchronous, a bounded size. One sidecar owns a file; `martendrum record` may read
// and settle in it meanwhile. Each Apply is one transaction and one sync, so that
// requests brought together share it.
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
	// minPages is the least bound: an empty schema and a few rows.
	minPages = 64
	// Part of the bound is left for what ends requests under way: new claims are
	// turned away as full before that.
	maxClaimUsage = 0.9
	maxGaps       = 1000
	// maxSweptPages are given back to the file system by one Sweep.
	maxSweptPages = 64
	openTimeout   = 30 * time.Second
)

// Config says which file, and how it is used.
type Config struct {
	Path      string
	MaxBytes  int64 // bytes
	Retention idempotency.Retention
	// Owner takes the file for one sidecar: what an earlier owner left in flight is
	// made what is known of it. Without it the file must be there already.
	Owner bool
	// Lock, where set, is the ownership of the file as a process that lives passed it on
	// (Store.Lock): the two own it together, what the other has in flight stands, and the
	// schema is not touched. The Store closes it.
	Lock *os.File
}

// Store is a record in a file.
type Store struct {
	config Config
	db     *sql.DB
	lock   *os.File
	// shared says that another process owns the file together with this one, or did.
	shared   atomic.Bool
	clock    idempotency.Clock
	maxPages int64 // pages

	mu         sync.Mutex // one writer; guards the prepared statements
	getEntry   *sql.Stmt
	putEntry   *sql.Stmt
	countPages *sql.Stmt
}

// Open opens the file, makes it if there is none, and brings its schema up to date.
// Errors name the file and say what to do.
func Open(ctx context.Context, cfg Config) (*Store, error) { return open(ctx, cfg, Version) }

func open(ctx context.Context, cfg Config, version int) (_ *Store, err error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	s := &Store{config: cfg, maxPages: max(cfg.MaxBytes/pageSize, minPages)}
	defer func() {
		if err != nil {
			s.Close()
			err = fmt.Errorf("record %s: %w", cfg.Path, err)
		}
	}()
	if cfg.Lock != nil {
		s.lock = cfg.Lock
		s.shared.Store(true)
		if err := s.adoptLock(); err != nil {
			return nil, err
		}
	} else if cfg.Owner {
		if err := s.acquireLock(); err != nil {
			return nil, err
		}
	} else if _, err := os.Stat(cfg.Path); err != nil {
		return nil, fmt.Errorf("there is no such file; a sidecar makes it at its first start: %w", err)
	}
	if s.db, err = sqlitefile.Open(cfg.Path, "busy_timeout(3000)", "auto_vacuum(2)", "journal_mode(WAL)", "synchronous(FULL)",
		fmt.Sprintf("max_page_count(%d)", s.maxPages), "journal_size_limit(4194304)", "cache_size(-1024)"); err != nil {
		return nil, err
	}
	s.db.SetMaxOpenConns(2) // one writes, one reads
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

// Close closes the file and gives it free.
func (s *Store) Close() (err error) {
	if s.db != nil {
		err = s.db.Close()
	}
	switch {
	case s.lock == nil:
	case s.shared.Load():
		s.lock.Close() // the other process goes on with it
	default:
		filelock.Release(s.lock)
	}
	return err
}
