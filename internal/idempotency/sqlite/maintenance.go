package sqlite

import (
	"context"
	"database/sql"
	"fmt"
	"time"

	"martendrum/internal/idempotency"
)

// Sweep implements idempotency.Backend.
func (s *Store) Sweep(ctx context.Context, retention idempotency.Retention, limit int) (swept int, err error) {
	err = s.transact(ctx, func(tx *sql.Tx) error {
		swept = 0
		now := s.clock.Time(time.Now())
		lapsed, err := tx.ExecContext(ctx, `UPDATE record SET `+idempotency.LapseAssignments+`, changed = ?1 WHERE (class, key) IN
			(SELECT class, key FROM record WHERE state = 'in-flight' AND expires <= ?1 LIMIT ?2)`, now, limit)
		if err != nil {
			return err
		}
		swept += affected(lapsed)
		for _, state := range idempotency.States {
			period := retention.Period(state)
			if period <= 0 || swept >= limit {
				continue
			}
			dropped, err := tx.ExecContext(ctx, `DELETE FROM record WHERE (class, key) IN
				(SELECT class, key FROM record WHERE state = ? AND changed < ? LIMIT ?)`, string(state), now-period.Microseconds(), limit-swept)
			if err != nil {
				return err
			}
			swept += affected(dropped)
		}
		return s.saveClock(ctx, tx, now)
	})
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return swept, s.query(ctx, fmt.Sprintf("PRAGMA incremental_vacuum(%d)", maxSweptPages), func(*sql.Rows) error { return nil })
}

// affected returns the number of rows that a statement changed.
func affected(result sql.Result) int {
	n, _ := result.RowsAffected() // this driver returns no error
	return int(n)
}

// WriteGap implements idempotency.Backend.
func (s *Store) WriteGap(ctx context.Context, gap idempotency.Gap) error {
	return s.transact(ctx, func(tx *sql.Tx) error {
		if _, err := tx.ExecContext(ctx, "INSERT INTO gaps (owner, class, since, until, requests, cause) VALUES (?,?,?,?,?,?)",
			gap.Owner, gap.Class, gap.From, gap.Until, gap.Requests, gap.Cause); err != nil {
			return err
		}
		_, err := tx.ExecContext(ctx, "DELETE FROM gaps WHERE n <= (SELECT max(n) FROM gaps) - ?", maxGaps)
		return err
	})
}

// Check implements idempotency.Backend.
func (s *Store) Check(ctx context.Context) (found []string, err error) {
	for _, query := range []string{"PRAGMA integrity_check(20)",
		`SELECT 'row ' || class || ' ' || quote(key) || ': ' || CASE WHEN state NOT IN ('in-flight','answered','never-ran','may-have-run') THEN 'unknown state ' || quote(state)
			WHEN length(body) <> 32 THEN 'fingerprint of ' || length(body) || ' bytes' WHEN token = '' THEN 'no token' ELSE 'answered without a status' END
		FROM record WHERE ` + idempotency.InvalidRowCondition + ` LIMIT 20`} {
		rows, err := s.db.QueryContext(ctx, query)
		if err != nil {
			return found, withAdvice(err)
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

// Compact implements idempotency.Backend. It rewrites the file and returns unused space to
// the file system. No other process may have the file open.
func (s *Store) Compact(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, statement := range []string{"VACUUM", "PRAGMA wal_checkpoint(TRUNCATE)"} {
		if _, err := s.db.ExecContext(ctx, statement); err != nil {
			return fmt.Errorf("record %s: %w", s.config.Path, withAdvice(err))
		}
	}
	return nil
}

// Ping implements idempotency.Backend. It writes to the file, so that it fails if the file
// or the disk is read-only.
func (s *Store) Ping(ctx context.Context) error {
	return s.transact(ctx, func(tx *sql.Tx) error { return s.saveClock(ctx, tx, s.clock.Time(time.Now())) })
}
