package sqlite

import (
	"context"
	"database/sql"
	"strings"

	"martendrum/internal/idempotency"
	"martendrum/internal/sqlitefile"
)

// Get implements idempotency.Backend.
func (s *Store) Get(ctx context.Context, class, key string) (idempotency.Entry, error) {
	entry, err := scanEntry(s.getEntry.QueryRowContext(ctx, class, key))
	return entry, withAdvice(err)
}

// List implements idempotency.Backend.
func (s *Store) List(ctx context.Context, filter idempotency.Filter) (entries []idempotency.Entry, err error) {
	err = s.query(ctx, `SELECT `+strings.Replace(idempotency.Columns, "answer,", "x'' AS answer,", 1)+` FROM record
		WHERE (?1 = '' OR state = ?1) AND (?2 = '' OR class = ?2) AND changed >= ?3 AND (class, key) > (?4, ?5)
		ORDER BY class, key LIMIT ?6`, func(rows *sql.Rows) error {
		var entry idempotency.Entry
		err := rows.Scan(entry.ScanTargets()...)
		entries = append(entries, entry)
		return err
	}, string(filter.State), filter.Class, filter.ChangedSince, filter.AfterClass, filter.AfterKey, filter.Limit)
	return entries, err
}

// query runs a query and calls scan for each row of its result.
func (s *Store) query(ctx context.Context, query string, scan func(*sql.Rows) error, args ...any) error {
	return withAdvice(sqlitefile.ForEachRow(ctx, s.db, query, scan, args...))
}

// Gaps implements idempotency.Backend.
func (s *Store) Gaps(ctx context.Context, limit int) (gaps []idempotency.Gap, err error) {
	err = s.query(ctx, "SELECT owner, class, since, until, requests, cause FROM gaps ORDER BY n DESC LIMIT ?", func(rows *sql.Rows) error {
		var gap idempotency.Gap
		err := rows.Scan(&gap.Owner, &gap.Class, &gap.From, &gap.Until, &gap.Requests, &gap.Cause)
		gaps = append(gaps, gap)
		return err
	}, limit)
	return gaps, err
}

// Stats implements idempotency.Backend. Bytes is the size of the file's used pages.
func (s *Store) Stats(ctx context.Context) (stats idempotency.Stats, err error) {
	stats = idempotency.Stats{Rows: make(map[idempotency.State]int64), MaxBytes: s.maxPages * pageSize}
	if err := s.countPages.QueryRowContext(ctx).Scan(&stats.Bytes); err != nil {
		return stats, withAdvice(err)
	}
	stats.Bytes *= pageSize
	return stats, s.query(ctx, "SELECT state, count(*) FROM record GROUP BY state", func(rows *sql.Rows) error {
		var state idempotency.State
		var count int64
		err := rows.Scan(&state, &count)
		stats.Rows[state] = count
		return err
	})
}
