// Package sqlite keeps a sidecar's record in a SQLite file: write-ahead log, full
// synchronous, a bounded size. One sidecar owns a file; `martendrum record` may read
// and settle in it meanwhile. Each Apply is one transaction and one sync, so that
// requests brought together share it.
package sqlite

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	driver "modernc.org/sqlite"
	lib "modernc.org/sqlite/lib"

	"martendrum/internal/filelock"
	"martendrum/internal/idempotency"
	"martendrum/internal/sqlitefile"
)

// migrations bring a file from version n to n+1. They are never changed once
// released: a file may be at any of them.
var migrations = []string{
	`CREATE TABLE record (
		class TEXT NOT NULL, key TEXT NOT NULL, state TEXT NOT NULL, body BLOB NOT NULL, owner TEXT NOT NULL, token TEXT NOT NULL,
		request TEXT NOT NULL, attempts INTEGER NOT NULL, servers TEXT NOT NULL, began INTEGER NOT NULL, changed INTEGER NOT NULL,
		expires INTEGER NOT NULL, status INTEGER NOT NULL, header BLOB NOT NULL, answer BLOB NOT NULL, cut INTEGER NOT NULL,
		settled TEXT NOT NULL, note TEXT NOT NULL, version INTEGER NOT NULL, PRIMARY KEY (class, key)) WITHOUT ROWID;
	CREATE INDEX record_state ON record (state, changed);
	CREATE TABLE meta (name TEXT PRIMARY KEY, value INTEGER NOT NULL);`,
	`CREATE TABLE gaps (n INTEGER PRIMARY KEY AUTOINCREMENT, owner TEXT NOT NULL, class TEXT NOT NULL, since INTEGER NOT NULL,
		until INTEGER NOT NULL, requests INTEGER NOT NULL, cause TEXT NOT NULL);`,
}

// Version is the schema's that this build reads and writes.
var Version = len(migrations)

const (
	pageSize = 4096
	// minPages is the least bound: an empty schema and a few rows.
	minPages = 64
	// Part of the bound is left for what ends requests under way: new claims are
	// turned away as full before that.
	claimRoom = 0.9
	maxGaps   = 1000
	// sweepPages are given back to the file system by one Sweep.
	sweepPages = 64
	maxStart   = 30 * time.Second
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
	cfg  Config
	db   *sql.DB
	lock *os.File
	// shared says that another process owns the file together with this one, or did.
	shared atomic.Bool
	clock  idempotency.Clock
	limit  int64 // pages

	mu    sync.Mutex // one writer; guards the prepared statements
	get   *sql.Stmt
	put   *sql.Stmt
	pages *sql.Stmt
}

// Open opens the file, makes it if there is none, and brings its schema up to date.
// Errors name the file and say what to do.
func Open(ctx context.Context, cfg Config) (*Store, error) { return open(ctx, cfg, Version) }

func open(ctx context.Context, cfg Config, version int) (_ *Store, err error) {
	ctx, cancel := context.WithTimeout(ctx, maxStart)
	defer cancel()
	s := &Store{cfg: cfg, limit: max(cfg.MaxBytes/pageSize, minPages)}
	defer func() {
		if err != nil {
			s.Close()
			err = fmt.Errorf("record %s: %w", cfg.Path, err)
		}
	}()
	if cfg.Lock != nil {
		s.lock = cfg.Lock
		s.shared.Store(true)
		if err := s.share(); err != nil {
			return nil, err
		}
	} else if cfg.Owner {
		if err := s.own(); err != nil {
			return nil, err
		}
	} else if _, err := os.Stat(cfg.Path); err != nil {
		return nil, fmt.Errorf("there is no such file; a sidecar makes it at its first start: %w", err)
	}
	if s.db, err = sqlitefile.Open(cfg.Path, "busy_timeout(3000)", "auto_vacuum(2)", "journal_mode(WAL)", "synchronous(FULL)",
		fmt.Sprintf("max_page_count(%d)", s.limit), "journal_size_limit(4194304)", "cache_size(-1024)"); err != nil {
		return nil, err
	}
	s.db.SetMaxOpenConns(2) // one writes, one reads
	if err := s.migrate(ctx, version); err != nil {
		return nil, err
	}
	if version < Version {
		return s, nil
	}
	if err := s.begin(ctx); err != nil {
		return nil, explain(err)
	}
	return s, nil
}

// own takes the lock file, which the kernel frees when the process ends.
func (s *Store) own() error {
	f, err := filelock.Acquire(s.cfg.Path+".lock", 0o600)
	if errors.Is(err, filelock.ErrLocked) {
		holder := make([]byte, 32)
		n, _ := f.Read(holder)
		f.Close()
		return fmt.Errorf("locked by process %s: one sidecar owns a file; give this one a file of its own", strings.TrimSpace(string(holder[:n])))
	}
	if err != nil {
		return fmt.Errorf("the folder must be there and be writable: %w", err)
	}
	s.lock = f
	f.Truncate(0)
	fmt.Fprintln(f, os.Getpid())
	return nil
}

// share checks an ownership that was passed on: it must be of this file, and held.
func (s *Store) share() error {
	got, err := s.lock.Stat()
	if err != nil {
		return err
	}
	want, err := os.Stat(s.cfg.Path + ".lock")
	if err != nil {
		return err
	}
	if !os.SameFile(got, want) {
		return errors.New("the old process owns another file: end it before this one starts")
	}
	s.lock.Truncate(0)
	_, err = s.lock.WriteAt(fmt.Appendln(nil, os.Getpid()), 0)
	return err
}

// Lock is the ownership of the file, to be passed on to a process that takes this one's
// place; nil if this Store has none. The kernel frees it when the last process that has
// it ends.
func (s *Store) Lock() *os.File {
	s.shared.Store(true)
	return s.lock
}

func (s *Store) migrate(ctx context.Context, to int) error {
	if s.cfg.Owner && s.cfg.Lock == nil {
		if err := sqlitefile.Sound(ctx, s.db); err != nil {
			return damaged(err)
		}
		return explain(sqlitefile.Migrate(ctx, s.db, migrations, to))
	}
	// Others may look into what is left of a damaged file, and leave the schema alone.
	var have int
	if err := s.db.QueryRowContext(ctx, "PRAGMA user_version").Scan(&have); err != nil {
		return damaged(err)
	}
	if have < to {
		return fmt.Errorf("its schema is version %d, this build's %d: start the sidecar first, which brings it up to date", have, Version)
	}
	return sqlitefile.TooNew(have, Version)
}

func damaged(err error) error {
	if code(err) == lib.SQLITE_BUSY || code(err) == lib.SQLITE_LOCKED {
		return explain(err)
	}
	return fmt.Errorf("it can't be read (%w): if it is damaged, keep it with its -wal and -shm files for `martendrum record export`, move them aside and start again; keys that it held are then unknown", err)
}

// begin takes up where the last owner stopped.
func (s *Store) begin(ctx context.Context) error {
	var saved int64
	if err := s.db.QueryRowContext(ctx, "SELECT value FROM meta WHERE name = 'clock'").Scan(&saved); err != nil && !errors.Is(err, sql.ErrNoRows) {
		return err
	}
	wall := time.Now()
	s.clock = idempotency.NewClock(saved, wall, s.cfg.Retention)
	var err error
	prepare := func(q string) (st *sql.Stmt) {
		if err == nil {
			st, err = s.db.PrepareContext(ctx, q)
		}
		return st
	}
	s.get = prepare("SELECT " + idempotency.Columns + " FROM record WHERE class = ? AND key = ?")
	s.put = prepare("INSERT OR REPLACE INTO record (" + idempotency.Columns + ") VALUES (?" + strings.Repeat(",?", strings.Count(idempotency.Columns, ",")) + ")")
	s.pages = prepare("SELECT p.page_count - f.freelist_count FROM pragma_page_count p, pragma_freelist_count f")
	if err != nil || !s.cfg.Owner || s.cfg.Lock != nil {
		return err
	}
	// The former owner is dead: its lock was free. What Lapse says of one row is said
	// here of all.
	now := s.clock.Time(wall)
	return s.write(ctx, func(tx *sql.Tx) error {
		if _, err := tx.ExecContext(ctx, `UPDATE record SET `+idempotency.LapseAssignments+`, changed = ? WHERE state = 'in-flight'`, now); err != nil {
			return err
		}
		return s.save(ctx, tx, now)
	})
}

func (s *Store) save(ctx context.Context, tx *sql.Tx, now int64) error {
	_, err := tx.ExecContext(ctx, "INSERT OR REPLACE INTO meta (name, value) VALUES ('clock', ?)", now)
	return err
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

func code(err error) int {
	if e, ok := errors.AsType[*driver.Error](err); ok {
		return e.Code() & 0xff
	}
	return 0
}

// explain says what an operator can do about an error.
func explain(err error) error {
	switch code(err) {
	case 0:
		return err
	case lib.SQLITE_FULL:
		return fmt.Errorf("%w: raise its bound, or free space on the disk: %w", idempotency.ErrFull, err)
	case lib.SQLITE_READONLY, lib.SQLITE_PERM, lib.SQLITE_CANTOPEN:
		return fmt.Errorf("%w: the sidecar's user must be able to write the file and its folder: %w", idempotency.ErrReadOnly, err)
	case lib.SQLITE_BUSY, lib.SQLITE_LOCKED:
		return fmt.Errorf("locked by another program for longer than 3 s: end what has it open: %w", err)
	case lib.SQLITE_CORRUPT, lib.SQLITE_NOTADB:
		return fmt.Errorf("the file is damaged: `martendrum record check` tells more: %w", err)
	}
	return err
}

func (s *Store) write(ctx context.Context, do func(tx *sql.Tx) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	tx, err := s.db.BeginTx(ctx, nil)
	if err != nil {
		return explain(err)
	}
	if err := do(tx); err != nil {
		tx.Rollback()
		return explain(err)
	}
	return explain(tx.Commit())
}

// Apply implements record.Backend.
func (s *Store) Apply(ctx context.Context, ops []*idempotency.Op) error {
	err := s.write(ctx, func(tx *sql.Tx) error {
		get, put := tx.StmtContext(ctx, s.get), tx.StmtContext(ctx, s.put)
		now := s.clock.Time(time.Now())
		var used int64
		if err := tx.StmtContext(ctx, s.pages).QueryRowContext(ctx).Scan(&used); err != nil {
			return err
		}
		full := float64(used) > claimRoom*float64(s.limit)
		for _, op := range ops {
			if full && op.Kind == idempotency.Claim {
				return fmt.Errorf("%w: %d of %d pages are used; raise its bound, or settle and drop", idempotency.ErrFull, used, s.limit)
			}
			row, err := scan(get.QueryRowContext(ctx, op.Class, op.Key))
			if err != nil {
				return err
			}
			if idempotency.Apply(&row, now, op) {
				if _, err := put.ExecContext(ctx, row.Values()...); err != nil {
					return err
				}
			}
		}
		return nil
	})
	if err != nil {
		for _, op := range ops {
			op.Result = idempotency.NotApplied
		}
		return fmt.Errorf("record %s: %w", s.cfg.Path, err)
	}
	return nil
}

func scan(r *sql.Row) (row idempotency.Entry, err error) {
	if err = r.Scan(row.Fields()...); errors.Is(err, sql.ErrNoRows) {
		return idempotency.Entry{}, nil
	}
	return row, err
}

// Get implements record.Backend.
func (s *Store) Get(ctx context.Context, class, key string) (idempotency.Entry, error) {
	row, err := scan(s.get.QueryRowContext(ctx, class, key))
	return row, explain(err)
}

// List implements record.Backend.
func (s *Store) List(ctx context.Context, f idempotency.Filter) (out []idempotency.Entry, err error) {
	err = s.each(ctx, `SELECT `+strings.Replace(idempotency.Columns, "answer,", "x'' AS answer,", 1)+` FROM record
		WHERE (?1 = '' OR state = ?1) AND (?2 = '' OR class = ?2) AND changed >= ?3 AND (class, key) > (?4, ?5)
		ORDER BY class, key LIMIT ?6`, func(rows *sql.Rows) error {
		var r idempotency.Entry
		err := rows.Scan(r.Fields()...)
		out = append(out, r)
		return err
	}, string(f.State), f.Class, f.ChangedSince, f.AfterClass, f.AfterKey, f.Limit)
	return out, err
}

func (s *Store) each(ctx context.Context, q string, scan func(*sql.Rows) error, args ...any) error {
	return explain(sqlitefile.ForInterval(ctx, s.db, q, scan, args...))
}

// Sweep implements record.Backend.
func (s *Store) Sweep(ctx context.Context, keep idempotency.Retention, limit int) (n int, err error) {
	err = s.write(ctx, func(tx *sql.Tx) error {
		n = 0
		now := s.clock.Time(time.Now())
		lapsed, err := tx.ExecContext(ctx, `UPDATE record SET `+idempotency.LapseAssignments+`, changed = ?1 WHERE (class, key) IN
			(SELECT class, key FROM record WHERE state = 'in-flight' AND expires <= ?1 LIMIT ?2)`, now, limit)
		if err != nil {
			return err
		}
		n += affected(lapsed)
		for _, state := range idempotency.States {
			kept := keep.For(state)
			if kept <= 0 || n >= limit {
				continue
			}
			gone, err := tx.ExecContext(ctx, `DELETE FROM record WHERE (class, key) IN
				(SELECT class, key FROM record WHERE state = ? AND changed < ? LIMIT ?)`, string(state), now-kept.Microseconds(), limit-n)
			if err != nil {
				return err
			}
			n += affected(gone)
		}
		return s.save(ctx, tx, now)
	})
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return n, s.each(ctx, fmt.Sprintf("PRAGMA incremental_vacuum(%d)", sweepPages), func(*sql.Rows) error { return nil })
}

func affected(r sql.Result) int {
	n, _ := r.RowsAffected() // this driver has it always
	return int(n)
}

// Gap implements record.Backend.
func (s *Store) Gap(ctx context.Context, g idempotency.Gap) error {
	return s.write(ctx, func(tx *sql.Tx) error {
		if _, err := tx.ExecContext(ctx, "INSERT INTO gaps (owner, class, since, until, requests, cause) VALUES (?,?,?,?,?,?)",
			g.Owner, g.Class, g.From, g.Until, g.Requests, g.Cause); err != nil {
			return err
		}
		_, err := tx.ExecContext(ctx, "DELETE FROM gaps WHERE n <= (SELECT max(n) FROM gaps) - ?", maxGaps)
		return err
	})
}

// Gaps implements record.Backend.
func (s *Store) Gaps(ctx context.Context, limit int) (out []idempotency.Gap, err error) {
	err = s.each(ctx, "SELECT owner, class, since, until, requests, cause FROM gaps ORDER BY n DESC LIMIT ?", func(rows *sql.Rows) error {
		var g idempotency.Gap
		err := rows.Scan(&g.Owner, &g.Class, &g.From, &g.Until, &g.Requests, &g.Cause)
		out = append(out, g)
		return err
	}, limit)
	return out, err
}

// Stats implements record.Backend.
func (s *Store) Stats(ctx context.Context) (st idempotency.Stats, err error) {
	st = idempotency.Stats{Rows: make(map[idempotency.State]int64), MaxBytes: s.limit * pageSize}
	if err := s.pages.QueryRowContext(ctx).Scan(&st.Bytes); err != nil {
		return st, explain(err)
	}
	st.Bytes *= pageSize
	return st, s.each(ctx, "SELECT state, count(*) FROM record GROUP BY state", func(rows *sql.Rows) error {
		var state idempotency.State
		var n int64
		err := rows.Scan(&state, &n)
		st.Rows[state] = n
		return err
	})
}

// Check implements record.Backend.
func (s *Store) Check(ctx context.Context) (found []string, err error) {
	for _, q := range []string{"PRAGMA integrity_check(20)",
		`SELECT 'row ' || class || ' ' || quote(key) || ': ' || CASE WHEN state NOT IN ('in-flight','answered','never-ran','may-have-run') THEN 'unknown state ' || quote(state)
			WHEN length(body) <> 32 THEN 'fingerprint of ' || length(body) || ' bytes' WHEN token = '' THEN 'no token' ELSE 'answered without a status' END
		FROM record WHERE ` + idempotency.InvalidRowCondition + ` LIMIT 20`} {
		rows, err := s.db.QueryContext(ctx, q)
		if err != nil {
			return found, explain(err)
		}
		for rows.Next() {
			var line string
			if err := rows.Scan(&line); err != nil {
				rows.Close()
				return found, err
			}
			if line != "ok" {
				found = append(found, line)
			}
		}
		rows.Close()
		if err := rows.Err(); err != nil {
			return append(found, err.Error()), nil
		}
	}
	return found, nil
}

// Compact implements record.Backend. It writes the file anew, and needs it alone.
func (s *Store) Compact(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range []string{"VACUUM", "PRAGMA wal_checkpoint(TRUNCATE)"} {
		if _, err := s.db.ExecContext(ctx, q); err != nil {
			return fmt.Errorf("record %s: %w", s.cfg.Path, explain(err))
		}
	}
	return nil
}

// Ping implements record.Backend. It writes: a disk that only reads is no store.
func (s *Store) Ping(ctx context.Context) error {
	return s.write(ctx, func(tx *sql.Tx) error { return s.save(ctx, tx, s.clock.Time(time.Now())) })
}
