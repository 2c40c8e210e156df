package postgres

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"martendrum/internal/idempotency"
	"martendrum/internal/pg"
)

// errConflict means that another transaction changed a row after this one had read it.
var errConflict = errors.New("another transaction has changed the entry")

// mayRetry reports whether a transaction that failed with err may be repeated: it was rolled
// back because of a concurrent transaction, or the outcome of its COMMIT is unknown.
// Repeating is safe then, as an op that is applied again has no further effect. committing
// says that err is the error of the COMMIT.
func mayRetry(err error, committing bool) bool {
	return errors.Is(err, errConflict) || pg.RolledBack(err) || committing && pg.OutcomeUnknown(err)
}

// Apply implements idempotency.Backend.
func (s *Store) Apply(ctx context.Context, ops []*idempotency.Op) error {
	if err := s.ensureSchema(ctx); err != nil {
		return err
	}
	for retries := 0; ; retries++ {
		committing, err := s.newTransaction(ops).run(ctx)
		if err == nil {
			return nil
		}
		for _, op := range ops {
			op.Result = idempotency.NotApplied
		}
		if retries >= maxRetries || !mayRetry(err, committing) || !backOff(ctx, retries) {
			return s.explain(err)
		}
	}
}

// backOff waits for a random time, whose maximum doubles with each retry. It returns false
// if ctx is done first.
func backOff(ctx context.Context, retries int) bool {
	bound := int64(time.Millisecond) << min(retries, maxBackoffDoublings)
	timer := time.NewTimer(time.Duration(rand.Int64N(bound)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// entryKey is the primary key of an entry.
type entryKey struct{ class, key string }

// compareKeys orders keys for slices.SortFunc.
func compareKeys(a, b entryKey) int {
	return strings.Compare(a.class+"\x00"+a.key, b.class+"\x00"+b.key)
}

// lockedEntry is an entry whose row a transaction has locked and read.
type lockedEntry struct {
	entry         idempotency.Entry
	storedVersion int64 // version of the row; 0: there is no row yet
	changed       bool  // entry must be written
}

// transaction applies ops to the entries of their keys.
type transaction struct {
	store   *Store
	ops     []*idempotency.Op
	keys    []entryKey // sorted, so that two transactions lock rows in the same order and can't deadlock
	entries map[entryKey]*lockedEntry
}

// newTransaction returns a transaction that has not read its entries yet.
func (s *Store) newTransaction(ops []*idempotency.Op) *transaction {
	t := &transaction{store: s, ops: ops, entries: make(map[entryKey]*lockedEntry)}
	for _, op := range ops {
		key := entryKey{op.Class, op.Key}
		if t.entries[key] == nil {
			t.entries[key] = &lockedEntry{}
			t.keys = append(t.keys, key)
		}
	}
	slices.SortFunc(t.keys, compareKeys)
	return t
}

// run locks and reads the entries, applies the ops and writes the entries that changed.
// committing reports whether err is the error of the COMMIT.
func (t *transaction) run(ctx context.Context) (committing bool, err error) {
	return t.store.db.Tx(ctx, func(tx pgx.Tx) error {
		now, err := t.read(ctx, tx)
		if err != nil {
			return err
		}
		for _, op := range t.ops {
			locked := t.entries[entryKey{op.Class, op.Key}]
			locked.changed = idempotency.Apply(&locked.entry, now, op) || locked.changed
		}
		return t.write(ctx, tx)
	})
}

// read locks and reads the entries. It returns the database's time in microseconds.
func (t *transaction) read(ctx context.Context, tx pgx.Tx) (now int64, err error) {
	batch := &pgx.Batch{}
	for _, key := range t.keys {
		locked := t.entries[key]
		batch.Queue("SELECT "+idempotency.Columns+" FROM martendrum_record WHERE class = $1::text AND key = $2::text FOR UPDATE", key.class, key.key).QueryRow(func(row pgx.Row) error {
			err := row.Scan(locked.entry.ScanTargets()...)
			if errors.Is(err, pgx.ErrNoRows) {
				locked.entry, err = idempotency.Entry{}, nil
			}
			locked.storedVersion = locked.entry.Version
			return err
		})
	}
	// The time is read after the locks were acquired, which may take long.
	batch.Queue("SELECT " + nowMicros).QueryRow(func(row pgx.Row) error { return row.Scan(&now) })
	err = tx.SendBatch(ctx, batch).Close()
	return now, err
}

// write inserts or updates the entries that changed. It returns errConflict if another
// transaction has changed one of them meanwhile.
func (t *transaction) write(ctx context.Context, tx pgx.Tx) error {
	batch := &pgx.Batch{}
	for _, key := range t.keys {
		switch locked := t.entries[key]; {
		case !locked.changed:
		case locked.storedVersion == 0:
			batch.Queue(t.store.insert, locked.entry.Values()...).Exec(requireOneRow)
		default:
			batch.Queue(t.store.update, append(locked.entry.Values(), locked.storedVersion)...).Exec(requireOneRow)
		}
	}
	if batch.Len() == 0 {
		return nil
	}
	return tx.SendBatch(ctx, batch).Close()
}

// requireOneRow returns errConflict unless a statement changed one row.
func requireOneRow(tag pgconn.CommandTag) error {
	if tag.RowsAffected() != 1 {
		return errConflict
	}
	return nil
}
