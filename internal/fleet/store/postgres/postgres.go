// Package postgres keeps the records of agents in one PostgreSQL database, each under
// its agent's name. The agent that opened a record last has it: each change is made
// under an epoch that the next one to open it raises, so that two agents of one name
// can't both write. A COMMIT of unknown outcome is resolved by asking which change was
// the last.
package postgres

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/store"
	"martendrum/internal/pg"
)

var schema = pg.Schema{Name: "martendrum_fleet_schema", Lock: 0x6d6172746f, Migrations: [][]string{
	{`CREATE TABLE martendrum_agents (agent TEXT PRIMARY KEY, epoch BIGINT NOT NULL, last TEXT NOT NULL)`,
		`CREATE TABLE martendrum_instances (agent TEXT NOT NULL, name TEXT NOT NULL, desired TEXT NOT NULL, generation BIGINT NOT NULL,
		release TEXT NOT NULL, previous TEXT NOT NULL, launch TEXT NOT NULL, process BIGINT NOT NULL, running TEXT NOT NULL, pid BIGINT NOT NULL,
		ticks BIGINT NOT NULL, boot TEXT NOT NULL, launched BIGINT NOT NULL, restarts BIGINT NOT NULL, last_exit TEXT NOT NULL, PRIMARY KEY (agent, name))`,
		`CREATE TABLE martendrum_operations (agent TEXT NOT NULL, id TEXT NOT NULL, body TEXT NOT NULL, state TEXT NOT NULL, result TEXT NOT NULL,
		closed BIGINT NOT NULL, PRIMARY KEY (agent, id))`,
		`CREATE TABLE martendrum_steps (agent TEXT NOT NULL, op TEXT NOT NULL, instance TEXT NOT NULL, kind TEXT NOT NULL, status TEXT NOT NULL,
		body TEXT NOT NULL, PRIMARY KEY (agent, op, instance, kind))`,
		`CREATE TABLE martendrum_leases (agent TEXT NOT NULL, instance TEXT NOT NULL, op TEXT NOT NULL, holder TEXT NOT NULL, token BIGINT NOT NULL,
		granted BIGINT NOT NULL, expires BIGINT NOT NULL, PRIMARY KEY (agent, instance))`},
	{`CREATE TABLE martendrum_audit (agent TEXT NOT NULL, n BIGINT NOT NULL, at BIGINT NOT NULL, who TEXT NOT NULL, what TEXT NOT NULL,
		target TEXT NOT NULL, result TEXT NOT NULL, PRIMARY KEY (agent, n))`},
	{`CREATE TABLE martendrum_settings (agent TEXT NOT NULL, key TEXT NOT NULL, body TEXT NOT NULL, PRIMARY KEY (agent, key))`},
}}

// Version is the schema's that this build reads and writes.
var Version = len(schema.Migrations)

const (
	openTimeout = 30 * time.Second
	// maxRetries is how often a transaction is made anew.
	maxRetries = 5
)

// Store is one agent's record.
type Store struct {
	db    *pg.DB
	agent string
	epoch int64
}

// ErrSuperseded says that another agent of the same name has the record now.
var ErrSuperseded = errors.New("another agent of this name has taken the record over: give each host's agent a name of its own, and end one of them")

// Open takes an agent's record, and makes it if there is none. It needs the database.
func Open(ctx context.Context, cfg pg.Config, agent string) (*Store, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	db, err := pg.Open(cfg, schema)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	s := &Store{db: db, agent: agent}
	if err = db.Ready(ctx); err == nil {
		err = db.Explain(db.Pool.QueryRow(ctx, `INSERT INTO martendrum_agents (agent, epoch, last) VALUES ($1::text, 1, '')
			ON CONFLICT (agent) DO UPDATE SET epoch = martendrum_agents.epoch + 1 RETURNING epoch`, agent).Scan(&s.epoch))
	}
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("record: %w", err)
	}
	return s, nil
}

// Close closes the connections.
func (s *Store) Close() error {
	s.db.Close()
	return nil
}

// numericColumns are the columns that are; the others are texts.
var numericColumns = map[string]bool{"generation": true, "process": true, "pid": true, "ticks": true, "launched": true, "restarts": true, "closed": true,
	"token": true, "granted": true, "expires": true}

// upsert is a statement that writes a whole row of an agent's: the first keys columns
// after the agent's name are the primary key.
func upsert(table string, keys int, columns string) string {
	names := strings.Split("agent, "+columns, ", ")
	var marks, sets []string
	for n, name := range names {
		kind := "text"
		if numericColumns[name] {
			kind = "bigint"
		}
		marks = append(marks, fmt.Sprintf("$%d::%s", n+1, kind))
		if n > keys {
			sets = append(sets, fmt.Sprintf("%s = excluded.%s", name, name))
		}
	}
	return fmt.Sprintf("INSERT INTO %s (%s) VALUES (%s) ON CONFLICT (%s) DO UPDATE SET %s", table, strings.Join(names, ", "), strings.Join(marks, ", "),
		strings.Join(names[:keys+1], ", "), strings.Join(sets, ", "))
}

var (
	putInstance  = upsert("martendrum_instances", 1, store.InstanceColumns)
	putOperation = upsert("martendrum_operations", 1, store.OperationColumns)
	putStep      = upsert("martendrum_steps", 3, store.StepColumns)
	putLease     = upsert("martendrum_leases", 1, store.LeaseColumns)
	putSettings  = upsert("martendrum_settings", 1, store.SettingsColumns)
)

// Commit implements store.Store.
func (s *Store) Commit(ctx context.Context, c *store.Change) error {
	var b [12]byte
	rand.Read(b[:])
	id := hex.EncodeToString(b[:])
	for n := 0; ; n++ {
		committing, err := s.commit(ctx, c, id)
		if err == nil {
			return nil
		}
		if n >= maxRetries || ctx.Err() != nil || !pg.RolledBack(err) && !(committing && pg.OutcomeUnknown(err)) {
			return fmt.Errorf("record: %w", s.db.Explain(err))
		}
	}
}

// commit makes one transaction; id is the change's.
func (s *Store) commit(ctx context.Context, c *store.Change, id string) (committing bool, err error) {
	batch := &pgx.Batch{}
	put := func(q string, args ...any) { batch.Queue(q, append([]any{s.agent}, args...)...) }
	row := func(q string, args []any, e error) {
		if err == nil {
			err = e
		}
		put(q, args...)
	}
	for _, i := range c.Instances {
		row(putInstance, i.Values(), nil)
	}
	for _, o := range c.Operations {
		args, e := o.Values()
		row(putOperation, args, e)
	}
	for _, x := range c.Steps {
		args, e := store.StepValues(&x)
		row(putStep, args, e)
	}
	for _, l := range c.Leases {
		row(putLease, store.LeaseValues(&l), nil)
	}
	for _, r := range c.Settings {
		row(putSettings, store.SettingsValues(&r), nil)
	}
	for _, key := range c.DropSettings {
		put("DELETE FROM martendrum_settings WHERE agent = $1::text AND key = $2::text", key)
	}
	for _, a := range c.Audit {
		row(`INSERT INTO martendrum_audit (agent, n, `+store.AuditColumns+`) VALUES ($1::text,
			(SELECT coalesce(max(n), 0) + 1 FROM martendrum_audit WHERE agent = $1::text), $2::bigint, $3::text, $4::text, $5::text, $6::text)`,
			store.AuditValues(&a), nil)
	}
	for _, id := range c.DropOperations {
		put("DELETE FROM martendrum_steps WHERE agent = $1::text AND op = $2::text", id)
		put("DELETE FROM martendrum_operations WHERE agent = $1::text AND id = $2::text", id)
	}
	for _, name := range c.DropInstances {
		put("DELETE FROM martendrum_instances WHERE agent = $1::text AND name = $2::text", name)
		put("DELETE FROM martendrum_leases WHERE agent = $1::text AND instance = $2::text", name)
	}
	if c.AuditLimit > 0 {
		put(`DELETE FROM martendrum_audit WHERE agent = $1::text AND
			n <= (SELECT max(n) FROM martendrum_audit WHERE agent = $1::text) - $2::bigint`, int64(c.AuditLimit))
	}
	put("UPDATE martendrum_agents SET last = $2::text WHERE agent = $1::text", id)
	if err != nil {
		return false, err
	}
	done := false
	committing, err = s.db.Tx(ctx, func(tx pgx.Tx) error {
		var epoch int64
		var last string
		if err := tx.QueryRow(ctx, "SELECT epoch, last FROM martendrum_agents WHERE agent = $1::text FOR UPDATE", s.agent).Scan(&epoch, &last); err != nil {
			return err
		}
		switch {
		case epoch != s.epoch:
			return ErrSuperseded
		case last == id: // an earlier try took effect
			done = true
			return nil
		}
		return tx.SendBatch(ctx, batch).Close()
	})
	if done { // whatever became of a transaction that only read
		return false, nil
	}
	return committing, err
}

// read reads all rows of a query about the agent, of which scan takes each.
func (s *Store) read(ctx context.Context, q string, scan func(store.Scanner) error, args ...any) error {
	rows, err := s.db.Pool.Query(ctx, q, append([]any{s.agent}, args...)...)
	if err != nil {
		return err
	}
	defer rows.Close()
	for rows.Next() {
		if err := scan(rows); err != nil {
			return err
		}
	}
	return rows.Err()
}

// Load implements store.Store.
func (s *Store) Load(ctx context.Context) (*store.Snapshot, error) {
	out := &store.Snapshot{}
	for _, q := range []struct {
		columns, table, order string
		scan                  func(store.Scanner) error
	}{
		{store.InstanceColumns, "martendrum_instances", "name", out.ReadInstance},
		{store.OperationColumns, "martendrum_operations", "closed, id", out.ReadOperation},
		{store.StepColumns, "martendrum_steps", "op, instance, kind", out.ReadStep},
		{store.LeaseColumns, "martendrum_leases", "instance", out.ReadLease},
		{store.SettingsColumns, "martendrum_settings", "key", out.ReadSettings},
	} {
		if err := s.read(ctx, "SELECT "+q.columns+" FROM "+q.table+" WHERE agent = $1::text ORDER BY "+q.order, q.scan); err != nil {
			return nil, fmt.Errorf("record: %w", s.db.Explain(err))
		}
	}
	return out, nil
}

// Audit implements store.Store.
func (s *Store) Audit(ctx context.Context, limit int) (out []api.AuditEntry, err error) {
	err = s.read(ctx, "SELECT "+store.AuditColumns+" FROM martendrum_audit WHERE agent = $1::text ORDER BY n DESC LIMIT $2::bigint", func(r store.Scanner) error {
		a, err := store.ReadAudit(r)
		out = append(out, a)
		return err
	}, int64(limit))
	if err != nil {
		return nil, fmt.Errorf("record: %w", s.db.Explain(err))
	}
	return out, nil
}
