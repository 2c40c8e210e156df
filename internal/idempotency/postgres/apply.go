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

// errConflict says that another transaction changed a row between its read and its write.
var errConflict = errors.New("another transaction came first")

// mayRetry says whether a transaction that failed may be repeated: it was rolled back in
// favour of another one, or its COMMIT has an unknown outcome, which reading resolves.
func mayRetry(err error, committing bool) bool {
	return errors.Is(err, errConflict) || pg.RolledBack(err) || committing && pg.OutcomeUnknown(err)
}

// Apply implements idempotency.Backend.
func (s *Store) Apply(ctx context.Context, ops []*idempotency.Op) error {
	if err := s.awaitSchema(ctx); err != nil {
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

// backOff waits for a random time that grows with the number of retries. It returns
// false if ctx is done first.
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

func compareKeys(a, b entryKey) int {
	return strings.Compare(a.class+"\x00"+a.key, b.class+"\x00"+b.key)
}

// lockedEntry is an entry that a transaction has read under a lock.
type lockedEntry struct {
	entry         idempotency.Entry
	storedVersion int64 // 0: there is no row yet
	changed       bool
}

// transaction applies ops to the entries of their keys.
type transaction struct {
	store   *Store
	ops     []*idempotency.Op
	keys    []entryKey // sorted, so that two transactions do not deadlock
	entries map[entryKey]*lockedEntry
}

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

// run reads and locks the entries, applies the ops and writes what changed; committing
// says that an error is that of the COMMIT.
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

// read locks and reads the entries and returns the database's time.
func (t *transaction) read(ctx context.Context, tx pgx.Tx) (now int64, err error) {
	batch := &pgx.Batch{}
	for _, key := range t.keys {
		locked := t.entries[key]
		batch.Queue("SELECT "+idempotency.Columns+" FROM martendrum_record WHERE class = $1::text AND key = $2::text FOR UPDATE", key.class, key.key).QueryRow(func(row pgx.Row) error {
			err := row.Scan(locked.entry.Fields()...)
			if errors.Is(err, pgx.ErrNoRows) {
				locked.entry, err = idempotency.Entry{}, nil
			}
			locked.storedVersion = locked.entry.Version
			return err
		})
	}
	// The time is read last, as waiting for the locks takes time.
	batch.Queue("SELECT " + nowMicros).QueryRow(func(row pgx.Row) error { return row.Scan(&now) })
	err = tx.SendBatch(ctx, batch).Close()
	return now, err
}

// write writes the entries that changed.
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

func requireOneRow(tag pgconn.CommandTag) error {
	if tag.RowsAffected() != 1 {
		return errConflict
	}
	return nil
}
