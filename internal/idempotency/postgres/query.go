package postgres

import (
	"context"
	"errors"
	"strings"

	"github.com/jackc/pgx/v5"

	"martendrum/internal/idempotency"
)

// Get implements idempotency.Backend.
func (s *Store) Get(ctx context.Context, class, key string) (entry idempotency.Entry, err error) {
	if err := s.ensureSchema(ctx); err != nil {
		return entry, err
	}
	err = s.db.Pool.QueryRow(ctx, "SELECT "+idempotency.Columns+" FROM martendrum_record WHERE class = $1::text AND key = $2::text", class, key).Scan(entry.ScanTargets()...)
	if errors.Is(err, pgx.ErrNoRows) {
		return idempotency.Entry{}, nil
	}
	return entry, s.explain(err)
}

// collect returns the rows of a query. fields returns pointers to the fields of a value into
// which the columns of a row are read.
func collect[T any](ctx context.Context, s *Store, fields func(*T) []any, query string, args ...any) (all []T, err error) {
	if err := s.ensureSchema(ctx); err != nil {
		return nil, err
	}
	rows, err := s.db.Pool.Query(ctx, query, args...)
	if err != nil {
		return nil, s.explain(err)
	}
	all, err = pgx.CollectRows(rows, func(row pgx.CollectableRow) (value T, err error) {
		err = row.Scan(fields(&value)...)
		return value, err
	})
	return all, s.explain(err)
}

// List implements idempotency.Backend.
func (s *Store) List(ctx context.Context, filter idempotency.Filter) ([]idempotency.Entry, error) {
	return collect(ctx, s, (*idempotency.Entry).ScanTargets, "SELECT "+strings.Replace(idempotency.Columns, "answer,", "CAST('' AS bytea),", 1)+` FROM martendrum_record
		WHERE ($1::text = '' OR state = $1::text) AND ($2::text = '' OR class = $2::text) AND changed >= $3::bigint AND (class, key) > ($4::text, $5::text)
		ORDER BY class, key LIMIT $6::bigint`, string(filter.State), filter.Class, filter.ChangedSince, filter.AfterClass, filter.AfterKey, int64(filter.Limit))
}

// Gaps implements idempotency.Backend.
func (s *Store) Gaps(ctx context.Context, limit int) ([]idempotency.Gap, error) {
	return collect(ctx, s, func(gap *idempotency.Gap) []any {
		return []any{&gap.Owner, &gap.Class, &gap.From, &gap.Until, &gap.Requests, &gap.Cause}
	},
		"SELECT owner, class, since, until, requests, cause FROM martendrum_gaps ORDER BY until DESC LIMIT $1::bigint", int64(limit))
}

// Stats implements idempotency.Backend. Bytes is the size of the stored answers and their
// header fields.
func (s *Store) Stats(ctx context.Context) (stats idempotency.Stats, err error) {
	type stateCount struct {
		state       idempotency.State
		rows, bytes int64
	}
	counts, err := collect(ctx, s, func(c *stateCount) []any { return []any{&c.state, &c.rows, &c.bytes} },
		"SELECT state, CAST(count(*) AS bigint), CAST(coalesce(sum(length(answer) + length(header)), 0) AS bigint) FROM martendrum_record GROUP BY state")
	stats.Rows = make(map[idempotency.State]int64)
	for _, count := range counts {
		stats.Rows[count.state] = count.rows
		stats.Bytes += count.bytes
	}
	return stats, err
}
