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
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"

	"chalkrack/internal/fleet/api"
	"chalkrack/internal/fleet/lease"
	"chalkrack/internal/fleet/store"
	"chalkrack/internal/pg"
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
}}

// Version is the schema's that this build reads and writes.
var Version = len(schema.Migrations)

const (
	openMost = 30 * time.Second
	// againMost is how often a transaction is made anew.
	againMost = 5
)

// Store is one agent's record.
type Store struct {
	db    *pg.DB
	agent string
	epoch int64
}

// ErrTaken says that another agent of the same name has the record now.
var ErrTaken = errors.New("another agent of this name has taken the record over: give each host's agent a name of its own, and end one of them")

// Open takes an agent's record, and makes it if there is none. It needs the database.
func Open(ctx context.Context, cfg pg.Config, agent string) (*Store, error) {
	ctx, cancel := context.WithTimeout(ctx, openMost)
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

func unix(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromUnix(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// upsert is a statement that writes a whole row: columns with a star are numbers, the
// first keys of them are the primary key.
func upsert(table string, keys int, columns ...string) string {
	var names, marks, sets []string
	for n, c := range columns {
		name, number := strings.CutSuffix(c, "*")
		kind := "text"
		if number {
			kind = "bigint"
		}
		names = append(names, name)
		marks = append(marks, fmt.Sprintf("$%d::%s", n+1, kind))
		if n >= keys {
			sets = append(sets, fmt.Sprintf("%s = excluded.%s", name, name))
		}
	}
	return fmt.Sprintf("INSERT INTO %s (%s) VALUES (%s) ON CONFLICT (%s) DO UPDATE SET %s", table, strings.Join(names, ", "), strings.Join(marks, ", "),
		strings.Join(names[:keys], ", "), strings.Join(sets, ", "))
}

var (
	putInstance = upsert("martendrum_instances", 2, "agent", "name", "desired", "generation*", "release", "previous", "launch", "process*", "running",
		"pid*", "ticks*", "boot", "launched*", "restarts*", "last_exit")
	putOperation = upsert("martendrum_operations", 2, "agent", "id", "body", "state", "result", "closed*")
	putStep      = upsert("martendrum_steps", 4, "agent", "op", "instance", "kind", "status", "body")
	putLease     = upsert("martendrum_leases", 2, "agent", "instance", "op", "holder", "token*", "granted*", "expires*")
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
		if n >= againMost || ctx.Err() != nil || !pg.Undone(err) && !(committing && pg.InDoubt(err)) {
			return fmt.Errorf("record: %w", s.db.Explain(err))
		}
	}
}

// commit makes one transaction; id is the change's.
func (s *Store) commit(ctx context.Context, c *store.Change, id string) (committing bool, err error) {
	batch := &pgx.Batch{}
	put := func(q string, args ...any) { batch.Queue(q, append([]any{s.agent}, args...)...) }
	body := func(v any) string {
		b, e := json.Marshal(v)
		if err == nil {
			err = e
		}
		return string(b)
	}
	for _, i := range c.Instances {
		put(putInstance, i.Name, i.Desired, i.Generation, i.Release, i.Previous, i.Launch, i.Process, i.Running, int64(i.PID), int64(i.Ticks), i.Boot,
			unix(i.Launched), i.Restarts, i.LastExit)
	}
	for _, o := range c.Operations {
		put(putOperation, o.ID, body(o.Operation), o.State, o.Result, unix(o.Closed))
	}
	for _, x := range c.Steps {
		put(putStep, x.Op, x.Instance, x.Kind, x.Status, body(x))
	}
	for _, l := range c.Leases {
		put(putLease, l.Instance, l.Op, l.Holder, l.Token, unix(l.Granted), unix(l.Expires))
	}
	for _, a := range c.Audit {
		put(`INSERT INTO martendrum_audit (agent, n, at, who, what, target, result) VALUES ($1::text,
			(SELECT coalesce(max(n), 0) + 1 FROM martendrum_audit WHERE agent = $1::text), $2::bigint, $3::text, $4::text, $5::text, $6::text)`,
			unix(a.At), a.Who, a.What, a.Target, a.Result)
	}
	for _, id := range c.DropOperations {
		put("DELETE FROM martendrum_steps WHERE agent = $1::text AND op = $2::text", id)
		put("DELETE FROM martendrum_operations WHERE agent = $1::text AND id = $2::text", id)
	}
	for _, name := range c.DropInstances {
		put("DELETE FROM martendrum_instances WHERE agent = $1::text AND name = $2::text", name)
		put("DELETE FROM martendrum_leases WHERE agent = $1::text AND instance = $2::text", name)
	}
	if c.AuditKeep > 0 {
		put(`DELETE FROM martendrum_audit WHERE agent = $1::text AND
			n <= (SELECT max(n) FROM martendrum_audit WHERE agent = $1::text) - $2::bigint`, int64(c.AuditKeep))
	}
	put("UPDATE martendrum_agents SET last = $2::text WHERE agent = $1::text", id)
	if err != nil {
		return false, err
	}
	tx, err := s.db.Pool.Begin(ctx)
	if err != nil {
		return false, err
	}
	defer func() {
		if err != nil {
			back, cancel := context.WithTimeout(context.Background(), time.Second)
			tx.Rollback(back)
			cancel()
		}
	}()
	var epoch int64
	var last string
	if err := tx.QueryRow(ctx, "SELECT epoch, last FROM martendrum_agents WHERE agent = $1::text FOR UPDATE", s.agent).Scan(&epoch, &last); err != nil {
		return false, err
	}
	switch {
	case epoch != s.epoch:
		return false, ErrTaken
	case last == id: // an earlier try took effect
		return false, tx.Rollback(ctx)
	}
	if err := tx.SendBatch(ctx, batch).Close(); err != nil {
		return false, err
	}
	return true, tx.Commit(ctx)
}

// read reads all rows of a query about the agent, of which scan takes each.
func (s *Store) read(ctx context.Context, q string, scan func(pgx.Row) error, args ...any) error {
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
	err := s.read(ctx, `SELECT name, desired, generation, release, previous, launch, process, running, pid, ticks, boot, launched, restarts, last_exit
		FROM martendrum_instances WHERE agent = $1::text ORDER BY name`, func(r pgx.Row) error {
		var i store.Instance
		var launched, ticks int64
		err := r.Scan(&i.Name, &i.Desired, &i.Generation, &i.Release, &i.Previous, &i.Launch, &i.Process, &i.Running, &i.PID, &ticks, &i.Boot, &launched, &i.Restarts, &i.LastExit)
		i.Launched, i.Ticks = fromUnix(launched), uint64(ticks)
		out.Instances = append(out.Instances, i)
		return err
	})
	if err == nil {
		err = s.read(ctx, "SELECT body, state, result, closed FROM martendrum_operations WHERE agent = $1::text ORDER BY closed, id", func(r pgx.Row) error {
			var o store.Operation
			var body string
			var closed int64
			if err := r.Scan(&body, &o.State, &o.Result, &closed); err != nil {
				return err
			}
			o.Closed = fromUnix(closed)
			err := json.Unmarshal([]byte(body), &o.Operation)
			out.Operations = append(out.Operations, o)
			return err
		})
	}
	if err == nil {
		err = s.read(ctx, "SELECT body FROM martendrum_steps WHERE agent = $1::text ORDER BY op, instance, kind", func(r pgx.Row) error {
			var body string
			var x api.Step
			if err := r.Scan(&body); err != nil {
				return err
			}
			err := json.Unmarshal([]byte(body), &x)
			out.Steps = append(out.Steps, x)
			return err
		})
	}
	if err == nil {
		err = s.read(ctx, "SELECT instance, op, holder, token, granted, expires FROM martendrum_leases WHERE agent = $1::text ORDER BY instance", func(r pgx.Row) error {
			var l lease.Lease
			var granted, expires int64
			err := r.Scan(&l.Instance, &l.Op, &l.Holder, &l.Token, &granted, &expires)
			l.Granted, l.Expires = fromUnix(granted), fromUnix(expires)
			out.Leases = append(out.Leases, l)
			return err
		})
	}
	if err != nil {
		return nil, fmt.Errorf("record: %w", s.db.Explain(err))
	}
	return out, nil
}

// Audit implements store.Store.
func (s *Store) Audit(ctx context.Context, most int) (out []api.AuditEntry, err error) {
	err = s.read(ctx, "SELECT at, who, what, target, result FROM martendrum_audit WHERE agent = $1::text ORDER BY n DESC LIMIT $2::bigint", func(r pgx.Row) error {
		var a api.AuditEntry
		var at int64
		err := r.Scan(&at, &a.Who, &a.What, &a.Target, &a.Result)
		a.At = fromUnix(at)
		out = append(out, a)
		return err
	}, int64(most))
	if err != nil {
		return nil, fmt.Errorf("record: %w", s.db.Explain(err))
	}
	return out, nil
}
