package sqlite

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"time"

	"martendrum/internal/idempotency"
)

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
