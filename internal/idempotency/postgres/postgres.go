// Package postgres keeps the record of many sidecars in one PostgreSQL database, so
// that a key is recognised at each of them. Times are the database's. A key belongs to
// the claim whose token its row holds: every write is made on the version of the row
// that was read, and a token that the row has no more is fenced. What a lost
// connection leaves in doubt, a COMMIT above all, is asked for again.
package postgres

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"martendrum/internal/idempotency"
	"martendrum/internal/pg"
)

var schema = pg.Schema{Name: "martendrum_schema", Lock: 0x6d6172746e, Migrations: [][]string{
	{`CREATE TABLE martendrum_record (
		class TEXT NOT NULL, key TEXT NOT NULL, state TEXT NOT NULL, body BYTEA NOT NULL, owner TEXT NOT NULL, token TEXT NOT NULL,
		request TEXT NOT NULL, attempts BIGINT NOT NULL, servers TEXT NOT NULL, began BIGINT NOT NULL, changed BIGINT NOT NULL,
		expires BIGINT NOT NULL, status BIGINT NOT NULL, header BYTEA NOT NULL, answer BYTEA NOT NULL, cut BOOLEAN NOT NULL,
		settled TEXT NOT NULL, note TEXT NOT NULL, version BIGINT NOT NULL, PRIMARY KEY (class, key))`,
		`CREATE INDEX martendrum_record_state ON martendrum_record (state, changed)`},
	{`CREATE TABLE martendrum_gaps (owner TEXT NOT NULL, class TEXT NOT NULL, since BIGINT NOT NULL, until BIGINT NOT NULL,
		requests BIGINT NOT NULL, cause TEXT NOT NULL, PRIMARY KEY (owner, class, since))`,
		`CREATE INDEX martendrum_gaps_until ON martendrum_gaps (until)`},
}}

// Version is the schema's that this build reads and writes.
var Version = len(schema.Migrations)

const (
	maxGaps = 1000
	// maxRetries is how often a transaction is made anew that another one overtook.
	maxRetries = 8
	// nowMicros is the database's time in microseconds since 1970.
	nowMicros = "CAST(date_part('epoch', clock_timestamp()) * 1000000 AS bigint)"
)

// Config says which database, and how it is used.
type Config = pg.Config

// Store is a record in a database.
type Store struct {
	db      *pg.DB
	columns []string
	insert  string
	update  string
}

// Open returns the Store. It does not need the database: a sidecar starts without it.
// A database of a newer schema, or one that can be reached and not used, is an error of
// the first call.
func Open(cfg Config) (*Store, error) {
	db, err := pg.Open(cfg, schema)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	s := &Store{db: db, columns: strings.Split(idempotency.Columns, ", ")}
	s.buildStatements()
	return s, nil
}

// columnTypes of the columns that are not text.
var columnTypes = map[string]string{"body": "bytea", "header": "bytea", "answer": "bytea", "cut": "boolean", "attempts": "bigint", "began": "bigint",
	"changed": "bigint", "expires": "bigint", "status": "bigint", "version": "bigint"}

// buildStatements writes the two that hold all columns.
func (s *Store) buildStatements() {
	var marks, sets []string
	for n, c := range s.columns {
		t := columnTypes[c]
		if t == "" {
			t = "text"
		}
		mark := fmt.Sprintf("$%d::%s", n+1, t)
		marks = append(marks, mark)
		if n >= 2 { // after the key
			sets = append(sets, c+" = "+mark)
		}
	}
	s.insert = "INSERT INTO martendrum_record (" + idempotency.Columns + ") VALUES (" + strings.Join(marks, ", ") + ") ON CONFLICT (class, key) DO NOTHING"
	s.update = "UPDATE martendrum_record SET " + strings.Join(sets, ", ") +
		fmt.Sprintf(" WHERE class = $1::text AND key = $2::text AND version = $%d::bigint", len(s.columns)+1)
}

// Close closes the connections.
func (s *Store) Close() error {
	s.db.Close()
	return nil
}

// explain says what an operator can do, in the terms of record.Backend.
func (s *Store) explain(err error) error { return asStoreError(s.db.Explain(err)) }

func asStoreError(err error) error {
	for from, to := range map[error]error{pg.ErrFull: idempotency.ErrFull, pg.ErrReadOnly: idempotency.ErrReadOnly, pg.ErrUnusable: idempotency.ErrUnusable} {
		if errors.Is(err, from) {
			return fmt.Errorf("record: %w: %w", to, err)
		}
	}
	if err != nil {
		err = fmt.Errorf("record: %w", err)
	}
	return err
}

func (s *Store) awaitSchema(ctx context.Context) error {
	return asStoreError(s.db.Ready(ctx))
}

// errRaced says that another transaction changed a row between read and write.
var errRaced = errors.New("another transaction came first")

// mayRetry says whether a transaction that ended with err is to be made anew: it was
// overtaken and surely undone, or its outcome is in doubt, which reading resolves.
func mayRetry(err error, committing bool) bool {
	return errors.Is(err, errRaced) || pg.RolledBack(err) || committing && pg.OutcomeUnknown(err)
}

// Apply implements record.Backend.
func (s *Store) Apply(ctx context.Context, ops []*idempotency.Op) error {
	if err := s.awaitSchema(ctx); err != nil {
		return err
	}
	for n := 0; ; n++ {
		committing, err := s.apply(ctx, ops)
		if err == nil {
			return nil
		}
		for _, op := range ops {
			op.Result = idempotency.NotApplied
		}
		if n >= maxRetries || !mayRetry(err, committing) {
			return s.explain(err)
		}
		t := time.NewTimer(time.Duration(rand.Int64N(int64(time.Millisecond) << min(n, 5))))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return s.explain(err)
		}
	}
}

// apply makes one transaction: it reads each row under a lock, in the order of the
// keys, so that two of these don't wait for one another, and writes what changed.
func (s *Store) apply(ctx context.Context, ops []*idempotency.Op) (committing bool, err error) {
	type entry struct {
		row  idempotency.Entry
		had  int64 // its version
		keep bool  // it has changed
	}
	type id struct{ class, key string }
	rows := make(map[id]*entry)
	var keys []id
	for _, op := range ops {
		k := id{op.Class, op.Key}
		if rows[k] == nil {
			rows[k] = &entry{}
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b id) int { return strings.Compare(a.class+"\x00"+a.key, b.class+"\x00"+b.key) })
	return s.db.Tx(ctx, func(tx pgx.Tx) error {
		var now int64
		read := &pgx.Batch{}
		for _, k := range keys {
			e := rows[k]
			read.Queue("SELECT "+idempotency.Columns+" FROM martendrum_record WHERE class = $1::text AND key = $2::text FOR UPDATE", k.class, k.key).QueryRow(func(r pgx.Row) error {
				err := r.Scan(e.row.Fields()...)
				if errors.Is(err, pgx.ErrNoRows) {
					e.row, err = idempotency.Entry{}, nil
				}
				e.had = e.row.Version
				return err
			})
		}
		// Read last, when the locks are had: waiting for them takes time.
		read.Queue("SELECT " + nowMicros).QueryRow(func(r pgx.Row) error { return r.Scan(&now) })
		if err := tx.SendBatch(ctx, read).Close(); err != nil {
			return err
		}
		for _, op := range ops {
			e := rows[id{op.Class, op.Key}]
			e.keep = idempotency.Apply(&e.row, now, op) || e.keep
		}
		write := &pgx.Batch{}
		one := func(t pgconn.CommandTag) error {
			if t.RowsAffected() != 1 {
				return errRaced
			}
			return nil
		}
		for _, k := range keys {
			switch e := rows[k]; {
			case !e.keep:
			case e.had == 0:
				write.Queue(s.insert, e.row.Values()...).Exec(one)
			default:
				write.Queue(s.update, append(e.row.Values(), e.had)...).Exec(one)
			}
		}
		if write.Len() > 0 {
			if err := tx.SendBatch(ctx, write).Close(); err != nil {
				return err
			}
		}
		return nil
	})
}

// Get implements record.Backend.
func (s *Store) Get(ctx context.Context, class, key string) (row idempotency.Entry, err error) {
	if err := s.awaitSchema(ctx); err != nil {
		return row, err
	}
	err = s.db.Pool.QueryRow(ctx, "SELECT "+idempotency.Columns+" FROM martendrum_record WHERE class = $1::text AND key = $2::text", class, key).Scan(row.Fields()...)
	if errors.Is(err, pgx.ErrNoRows) {
		return idempotency.Entry{}, nil
	}
	return row, s.explain(err)
}

// rows reads all rows of a query.
func rows[T any](ctx context.Context, s *Store, scan func(*T) []any, q string, args ...any) (out []T, err error) {
	if err := s.awaitSchema(ctx); err != nil {
		return nil, err
	}
	r, err := s.db.Pool.Query(ctx, q, args...)
	if err != nil {
		return nil, s.explain(err)
	}
	out, err = pgx.CollectRows(r, func(r pgx.CollectableRow) (v T, err error) {
		err = r.Scan(scan(&v)...)
		return v, err
	})
	return out, s.explain(err)
}

// List implements record.Backend.
func (s *Store) List(ctx context.Context, f idempotency.Filter) ([]idempotency.Entry, error) {
	return rows(ctx, s, (*idempotency.Entry).Fields, "SELECT "+strings.Replace(idempotency.Columns, "answer,", "CAST('' AS bytea),", 1)+` FROM martendrum_record
		WHERE ($1::text = '' OR state = $1::text) AND ($2::text = '' OR class = $2::text) AND changed >= $3::bigint AND (class, key) > ($4::text, $5::text)
		ORDER BY class, key LIMIT $6::bigint`, string(f.State), f.Class, f.ChangedSince, f.AfterClass, f.AfterKey, int64(f.Limit))
}

// Sweep implements record.Backend.
func (s *Store) Sweep(ctx context.Context, keep idempotency.Retention, limit int) (int, error) {
	if err := s.awaitSchema(ctx); err != nil {
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
	n := int(lapsed.RowsAffected())
	for _, state := range idempotency.States {
		kept := keep.For(state)
		if kept <= 0 || n >= limit {
			continue
		}
		gone, err := s.db.Pool.Exec(ctx, `DELETE FROM martendrum_record WHERE state = $1::text AND changed < $2::bigint AND (class, key) IN
			(SELECT class, key FROM martendrum_record WHERE state = $1::text AND changed < $2::bigint ORDER BY class, key LIMIT $3::bigint)`,
			string(state), now-kept.Microseconds(), int64(limit-n))
		if err != nil {
			return n, s.explain(err)
		}
		n += int(gone.RowsAffected())
	}
	return n, nil
}

// Gap implements record.Backend.
func (s *Store) Gap(ctx context.Context, g idempotency.Gap) error {
	if err := s.awaitSchema(ctx); err != nil {
		return err
	}
	if _, err := s.db.Pool.Exec(ctx, `INSERT INTO martendrum_gaps (owner, class, since, until, requests, cause)
		VALUES ($1::text, $2::text, $3::bigint, $4::bigint, $5::bigint, $6::text) ON CONFLICT (owner, class, since) DO NOTHING`,
		g.Owner, g.Class, g.From, g.Until, g.Requests, g.Cause); err != nil {
		return s.explain(err)
	}
	_, err := s.db.Pool.Exec(ctx, "DELETE FROM martendrum_gaps WHERE until <= (SELECT until FROM martendrum_gaps ORDER BY until DESC LIMIT 1 OFFSET $1::bigint)", int64(maxGaps))
	return s.explain(err)
}

// Gaps implements record.Backend.
func (s *Store) Gaps(ctx context.Context, limit int) ([]idempotency.Gap, error) {
	return rows(ctx, s, func(g *idempotency.Gap) []any {
		return []any{&g.Owner, &g.Class, &g.From, &g.Until, &g.Requests, &g.Cause}
	},
		"SELECT owner, class, since, until, requests, cause FROM martendrum_gaps ORDER BY until DESC LIMIT $1::bigint", int64(limit))
}

// Stats implements record.Backend. Bytes are those of the answers that are kept.
func (s *Store) Stats(ctx context.Context) (st idempotency.Stats, err error) {
	type count struct {
		state    idempotency.State
		n, bytes int64
	}
	cs, err := rows(ctx, s, func(c *count) []any { return []any{&c.state, &c.n, &c.bytes} },
		"SELECT state, CAST(count(*) AS bigint), CAST(coalesce(sum(length(answer) + length(header)), 0) AS bigint) FROM martendrum_record GROUP BY state")
	st.Rows = make(map[idempotency.State]int64)
	for _, c := range cs {
		st.Rows[c.state] = c.n
		st.Bytes += c.bytes
	}
	return st, err
}

// Check implements record.Backend.
func (s *Store) Check(ctx context.Context) (found []string, err error) {
	bad, err := rows(ctx, s, (*idempotency.Entry).Fields, "SELECT "+strings.Replace(idempotency.Columns, "answer,", "CAST('' AS bytea),", 1)+` FROM martendrum_record
		WHERE `+idempotency.InvalidRowCondition+` ORDER BY class, key LIMIT 20`)
	for _, r := range bad {
		found = append(found, fmt.Sprintf("row %s %q: state %q, fingerprint of %d bytes, status %d", r.Class, r.Key, r.State, len(r.Fingerprint), r.Status))
	}
	return found, err
}

// Compact implements record.Backend.
func (s *Store) Compact(ctx context.Context) error {
	if err := s.awaitSchema(ctx); err != nil {
		return err
	}
	_, err := s.db.Pool.Exec(ctx, "VACUUM martendrum_record")
	return s.explain(err)
}

// Ping implements record.Backend. It brings the schema up to date where that is due,
// and asks whether the server takes writes.
func (s *Store) Ping(ctx context.Context) error {
	return asStoreError(s.db.CheckWritable(ctx))
}
