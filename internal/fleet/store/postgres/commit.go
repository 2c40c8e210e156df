package postgres

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5"

	"martendrum/internal/fleet/store"
	"martendrum/internal/pg"
)

// numericColumns are the columns of type bigint; the others have type text.
var numericColumns = map[string]bool{
	"generation": true, "process": true, "pid": true, "ticks": true, "launched": true, "restarts": true, "closed": true,
	"token": true, "granted": true, "expires": true,
}

// upsert returns the statement that inserts or replaces an agent's row. The primary key is the
// agent's name and the first keyColumns of the columns.
func upsert(table string, keyColumns int, columns string) string {
	names := strings.Split("agent, "+columns, ", ")
	var parameters, assignments []string
	for n, name := range names {
		columnType := "text"
		if numericColumns[name] {
			columnType = "bigint"
		}
		parameters = append(parameters, fmt.Sprintf("$%d::%s", n+1, columnType))
		if n > keyColumns {
			assignments = append(assignments, fmt.Sprintf("%s = excluded.%s", name, name))
		}
	}
	return fmt.Sprintf("INSERT INTO %s (%s) VALUES (%s) ON CONFLICT (%s) DO UPDATE SET %s", table, strings.Join(names, ", "), strings.Join(parameters, ", "),
		strings.Join(names[:keyColumns+1], ", "), strings.Join(assignments, ", "))
}

var (
	putInstance  = upsert("martendrum_instances", 1, store.InstanceColumns)
	putOperation = upsert("martendrum_operations", 1, store.OperationColumns)
	putStep      = upsert("martendrum_steps", 3, store.StepColumns)
	putLease     = upsert("martendrum_leases", 1, store.LeaseColumns)
	putSettings  = upsert("martendrum_settings", 1, store.SettingsColumns)
	putProperty  = upsert("martendrum_properties", 1, store.PropertyColumns)
	putAudit     = `INSERT INTO martendrum_audit (agent, n, ` + store.AuditColumns + `) VALUES ($1::text,
			(SELECT coalesce(max(n), 0) + 1 FROM martendrum_audit WHERE agent = $1::text), $2::bigint, $3::text, $4::text, $5::text, $6::text)`
)

// Commit implements store.Store. Because each change has a random ID that is stored with it, a
// COMMIT whose outcome is unknown can be repeated without writing the change twice.
func (s *Store) Commit(ctx context.Context, change *store.Change) error {
	var random [changeIDBytes]byte
	rand.Read(random[:])
	changeID := hex.EncodeToString(random[:])
	for retries := 0; ; retries++ {
		committing, err := s.commit(ctx, change, changeID)
		if err == nil {
			return nil
		}
		mayRetry := pg.RolledBack(err) || committing && pg.OutcomeUnknown(err)
		if retries >= maxRetries || ctx.Err() != nil || !mayRetry {
			return fmt.Errorf("record: %w", s.db.Explain(err))
		}
	}
}

// commit writes a change in one transaction. committing reports whether the error is that of
// the COMMIT, whose outcome may be unknown.
func (s *Store) commit(ctx context.Context, change *store.Change, changeID string) (committing bool, err error) {
	batch, err := s.newBatch(change, changeID)
	if err != nil {
		return false, err
	}
	alreadyWritten := false
	committing, err = s.db.Tx(ctx, func(tx pgx.Tx) error {
		var epoch int64
		var last string
		if err := tx.QueryRow(ctx, "SELECT epoch, last FROM martendrum_agents WHERE agent = $1::text FOR UPDATE", s.agent).Scan(&epoch, &last); err != nil {
			return err
		}
		switch {
		case epoch != s.epoch:
			return ErrSuperseded
		case last == changeID: // an earlier attempt has taken effect
			alreadyWritten = true
			return nil
		}
		return tx.SendBatch(ctx, batch).Close()
	})
	if alreadyWritten { // the transaction has only read, so its outcome does not matter
		return false, nil
	}
	return committing, err
}

// changeBatch collects the statements of a change. The first parameter of each is the agent's
// name.
type changeBatch struct {
	agent string
	batch *pgx.Batch
	err   error // the first error of encoding a row's values
}

// newBatch returns the statements of a change, the last of which stores the change's ID.
func (s *Store) newBatch(change *store.Change, changeID string) (*pgx.Batch, error) {
	b := &changeBatch{agent: s.agent, batch: &pgx.Batch{}}
	b.putAll(change)
	b.dropAll(change)
	b.queue("UPDATE martendrum_agents SET last = $2::text WHERE agent = $1::text", changeID)
	return b.batch, b.err
}

// queue adds a statement. args are its parameters after the agent's name.
func (b *changeBatch) queue(statement string, args ...any) {
	b.batch.Queue(statement, append([]any{b.agent}, args...)...)
}

// put adds a row's statement. values and err are the results of the function that returns the
// row's values.
func (b *changeBatch) put(statement string, values []any, err error) {
	if b.err == nil {
		b.err = err
	}
	b.queue(statement, values...)
}

// putAll adds the statements for the rows that a change writes.
func (b *changeBatch) putAll(change *store.Change) {
	for _, instance := range change.Instances {
		b.put(putInstance, instance.Values(), nil)
	}
	for _, operation := range change.Operations {
		values, err := operation.Values()
		b.put(putOperation, values, err)
	}
	for _, step := range change.Steps {
		values, err := store.StepValues(&step)
		b.put(putStep, values, err)
	}
	for _, lease := range change.Leases {
		b.put(putLease, store.LeaseValues(&lease), nil)
	}
	for _, entry := range change.Settings {
		b.put(putSettings, store.SettingsValues(&entry), nil)
	}
	for _, entry := range change.Audit {
		b.put(putAudit, store.AuditValues(&entry), nil)
	}
	for _, values := range change.PropertyValues() {
		b.put(putProperty, values, nil)
	}
}

// dropAll adds the statements for the rows that a change deletes, including the audit
// entries beyond change.AuditLimit.
func (b *changeBatch) dropAll(change *store.Change) {
	for _, key := range change.DropSettings {
		b.queue("DELETE FROM martendrum_settings WHERE agent = $1::text AND key = $2::text", key)
	}
	for _, id := range change.DropOperations {
		b.queue("DELETE FROM martendrum_steps WHERE agent = $1::text AND op = $2::text", id)
		b.queue("DELETE FROM martendrum_operations WHERE agent = $1::text AND id = $2::text", id)
	}
	for _, name := range change.DropInstances {
		b.queue("DELETE FROM martendrum_instances WHERE agent = $1::text AND name = $2::text", name)
		b.queue("DELETE FROM martendrum_leases WHERE agent = $1::text AND instance = $2::text", name)
	}
	if change.AuditLimit > 0 {
		b.queue(`DELETE FROM martendrum_audit WHERE agent = $1::text AND
			n <= (SELECT max(n) FROM martendrum_audit WHERE agent = $1::text) - $2::bigint`, int64(change.AuditLimit))
	}
}
