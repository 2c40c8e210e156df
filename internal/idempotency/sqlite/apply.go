package sqlite

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"time"

	"martendrum/internal/idempotency"
)

func (s *Store) transact(ctx context.Context, do func(tx *sql.Tx) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	tx, err := s.db.BeginTx(ctx, nil)
	if err != nil {
		return withAdvice(err)
	}
	if err := do(tx); err != nil {
		tx.Rollback()
		return withAdvice(err)
	}
	return withAdvice(tx.Commit())
}

// Apply implements record.Backend.
func (s *Store) Apply(ctx context.Context, ops []*idempotency.Op) error {
	err := s.transact(ctx, func(tx *sql.Tx) error {
		get, put := tx.StmtContext(ctx, s.getEntry), tx.StmtContext(ctx, s.putEntry)
		now := s.clock.Time(time.Now())
		var used int64
		if err := tx.StmtContext(ctx, s.countPages).QueryRowContext(ctx).Scan(&used); err != nil {
			return err
		}
		full := float64(used) > maxClaimUsage*float64(s.maxPages)
		for _, op := range ops {
			if full && op.Kind == idempotency.Claim {
				return fmt.Errorf("%w: %d of %d pages are used; raise its bound, or settle and drop", idempotency.ErrFull, used, s.maxPages)
			}
			row, err := scanEntry(get.QueryRowContext(ctx, op.Class, op.Key))
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
		return fmt.Errorf("record %s: %w", s.config.Path, err)
	}
	return nil
}

func scanEntry(r *sql.Row) (row idempotency.Entry, err error) {
	if err = r.Scan(row.Fields()...); errors.Is(err, sql.ErrNoRows) {
		return idempotency.Entry{}, nil
	}
	return row, err
}
