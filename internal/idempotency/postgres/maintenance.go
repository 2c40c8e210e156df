package postgres

import (
	"context"
	"fmt"
	"strings"

	"martendrum/internal/idempotency"
)

// Sweep implements idempotency.Backend.
func (s *Store) Sweep(ctx context.Context, retention idempotency.Retention, limit int) (int, error) {
	if err := s.ensureSchema(ctx); err != nil {
		return 0, err
	}
	var now int64
	if err := s.db.Pool.QueryRow(ctx, "SELECT "+nowMicros).Scan(&now); err != nil {
		return 0, s.explain(err)
	}
	lapsed, err := s.db.Pool.Exec(ctx, `UPDATE martendrum_record SET `+idempotency.LapseAssignments+`, changed = $1::bigint WHERE state = 'in-flight' AND expires <= $1::bigint AND (class, key) IN
		(SELECT class, key FROM martendrum_record WHERE state = 'in-flight' AND expires <= $1::bigint ORDER BY class, key LIMIT $2::bigint)`, now, int64(limit))
	if err != nil {
		return 0, s.explain(err)
	}
	swept := int(lapsed.RowsAffected())
	for _, state := range idempotency.States {
		period := retention.Period(state)
		if period <= 0 || swept >= limit {
			continue
		}
		dropped, err := s.db.Pool.Exec(ctx, `DELETE FROM martendrum_record WHERE state = $1::text AND changed < $2::bigint AND (class, key) IN
			(SELECT class, key FROM martendrum_record WHERE state = $1::text AND changed < $2::bigint ORDER BY class, key LIMIT $3::bigint)`,
			string(state), now-period.Microseconds(), int64(limit-swept))
		if err != nil {
			return swept, s.explain(err)
		}
		swept += int(dropped.RowsAffected())
	}
	return swept, nil
}

// WriteGap implements idempotency.Backend.
func (s *Store) WriteGap(ctx context.Context, gap idempotency.Gap) error {
	if err := s.ensureSchema(ctx); err != nil {
		return err
	}
	if _, err := s.db.Pool.Exec(ctx, `INSERT INTO martendrum_gaps (owner, class, since, until, requests, cause)
		VALUES ($1::text, $2::text, $3::bigint, $4::bigint, $5::bigint, $6::text) ON CONFLICT (owner, class, since) DO NOTHING`,
		gap.Owner, gap.Class, gap.From, gap.Until, gap.Requests, gap.Cause); err != nil {
		return s.explain(err)
	}
	_, err := s.db.Pool.Exec(ctx, "DELETE FROM martendrum_gaps WHERE until <= (SELECT until FROM martendrum_gaps ORDER BY until DESC LIMIT 1 OFFSET $1::bigint)", int64(maxGaps))
	return s.explain(err)
}

// Check implements idempotency.Backend.
func (s *Store) Check(ctx context.Context) (found []string, err error) {
	invalid, err := collect(ctx, s, (*idempotency.Entry).ScanTargets, "SELECT "+strings.Replace(idempotency.Columns, "answer,", "CAST('' AS bytea),", 1)+` FROM martendrum_record
		WHERE `+idempotency.InvalidRowCondition+` ORDER BY class, key LIMIT 20`)
	for _, entry := range invalid {
		found = append(found, fmt.Sprintf("row %s %q: state %q, fingerprint of %d bytes, status %d", entry.Class, entry.Key, entry.State, len(entry.Fingerprint), entry.Status))
	}
	return found, err
}

// Compact implements idempotency.Backend. It makes the space of deleted rows available for
// new ones.
func (s *Store) Compact(ctx context.Context) error {
	if err := s.ensureSchema(ctx); err != nil {
		return err
	}
	_, err := s.db.Pool.Exec(ctx, "VACUUM martendrum_record")
	return s.explain(err)
}

// Ping implements idempotency.Backend. It also migrates the schema if no earlier call has.
func (s *Store) Ping(ctx context.Context) error {
	return asStoreError(s.db.CheckWritable(ctx))
}
