package sqlite

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"time"

	"martendrum/internal/idempotency"
)

// transact runs apply in a transaction and commits it, unless apply fails. Transactions of
// one Store run one after the other.
func (s *Store) transact(ctx context.Context, apply func(tx *sql.Tx) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	tx, err := s.db.BeginTx(ctx, nil)
	if err != nil {
		return withAdvice(err)
	}
	if err := apply(tx); err != nil {
		tx.Rollback()
		return withAdvice(err)
	}
	return withAdvice(tx.Commit())
}

// Apply implements idempotency.Backend.
func (s *Store) Apply(ctx context.Context, ops []*idempotency.Op) error {
	err := s.transact(ctx, func(tx *sql.Tx) error { return s.applyAll(ctx, tx, ops) })
	if err != nil {
		for _, op := range ops {
			op.Result = idempotency.NotApplied
		}
		return fmt.Errorf("record %s: %w", s.config.Path, err)
	}
	return nil
}

// applyAll applies ops in order. If more than maxClaimUsage of the file is used, it fails at
// the first claim.
func (s *Store) applyAll(ctx context.Context, tx *sql.Tx, ops []*idempotency.Op) error {
	get, put := tx.StmtContext(ctx, s.getEntry), tx.StmtContext(ctx, s.putEntry)
	now := s.clock.Time(time.Now())
	var used int64
	if err := tx.StmtContext(ctx, s.countPages).QueryRowContext(ctx).Scan(&used); err != nil {
		return err
	}
	nearlyFull := float64(used) > maxClaimUsage*float64(s.maxPages)
	for _, op := range ops {
		if nearlyFull && op.Kind == idempotency.Claim {
			return fmt.Errorf("%w: %d of %d pages are used; raise sqlite.most, settle keys or shorten the retention", idempotency.ErrFull, used, s.maxPages)
		}
		entry, err := scanEntry(get.QueryRowContext(ctx, op.Class, op.Key))
		if err != nil {
			return err
		}
		if !idempotency.Apply(&entry, now, op) {
			continue
		}
		if _, err := put.ExecContext(ctx, entry.Values()...); err != nil {
			return err
		}
	}
	return nil
}

// scanEntry reads the entry of a row, or returns the zero Entry if there is no row.
func scanEntry(row *sql.Row) (entry idempotency.Entry, err error) {
	if err = row.Scan(entry.ScanTargets()...); errors.Is(err, sql.ErrNoRows) {
		return idempotency.Entry{}, nil
	}
	return entry, err
}
