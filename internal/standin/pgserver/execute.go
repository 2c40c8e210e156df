package pgserver

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// execute executes a statement, with the faults injected before and after it, and sends its rows and
// its command tag.
func (c *session) execute(p *portal) error {
	if c.status == 'E' && p.kind != rollback && p.kind != commit {
		return &failure{"25P02", "current transaction is aborted, commands ignored until end of transaction block"}
	}
	ctx, cancel := context.WithCancel(context.Background())
	if c.timeout > 0 {
		ctx, cancel = context.WithTimeout(context.Background(), c.timeout)
	}
	defer cancel()
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.cancel = nil
		c.mu.Unlock()
	}()
	if err := c.injectFault(ctx, Before, p.text); err != nil {
		return err
	}
	if p.writes && c.srv.isReadOnly() {
		return &failure{"25006", "cannot execute " + strings.ToUpper(p.kind) + " in a read-only transaction"}
	}
	rows, tag, err := c.executeOnSQLite(ctx, p)
	if err != nil {
		return err
	}
	if err := c.injectFault(ctx, After, p.text); err != nil {
		return err
	}
	for _, row := range rows {
		var out [][]byte
		for n, v := range row {
			b, err := encode(c.types, p.columns[n].oid, formatOf(p.formats, n), v)
			if err != nil {
				return &failure{"XX000", fmt.Sprintf("column %s: %v", p.columns[n].name, err)}
			}
			out = append(out, b)
		}
		c.backend.Send(&pgproto3.DataRow{Values: out})
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

// injectFault injects the fault, if any, of a statement's stage. It returns the error of the statement,
// or errClosed if the connection is to be closed.
func (c *session) injectFault(ctx context.Context, stage Stage, text string) error {
	f := c.srv.fault(c, stage, text)
	if f.Delay > 0 {
		timer := time.NewTimer(f.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		case <-c.srv.closing:
			return errClosed
		}
	}
	switch {
	case f.Stall:
		// Replies that are buffered are not flushed either: a server that hangs sends nothing.
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.srv.closing:
		}
		return errClosed
	case f.Reset:
		c.reset()
		return errClosed
	case f.Code != "":
		return &failure{f.Code, "injected"}
	}
	return nil
}

// maxRows is the maximum number of rows that a statement may return.
const maxRows = 20000

// executeOnSQLite executes a statement on SQLite and returns its rows and its command tag.
func (c *session) executeOnSQLite(ctx context.Context, p *portal) (rows [][]any, tag string, err error) {
	switch p.kind {
	case begin:
		tag, err = c.begin(ctx)
		return nil, tag, err
	case commit, rollback:
		tag, err = c.end(ctx, p.kind)
		return nil, tag, err
	}
	if len(p.columns) == 0 {
		tag, err = c.exec(ctx, p)
		return nil, tag, err
	}
	return c.query(ctx, p)
}

// begin begins a transaction; if one is open, it sends a warning, as PostgreSQL does.
func (c *session) begin(ctx context.Context) (tag string, err error) {
	if c.status != 'I' {
		c.backend.Send(&pgproto3.NoticeResponse{Severity: "WARNING", SeverityUnlocalized: "WARNING", Code: "25001", Message: "there is already a transaction in progress"})
		return "BEGIN", nil
	}
	if _, err := c.db.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
		return "", err
	}
	c.status = 'T'
	return "BEGIN", nil
}

// end commits a transaction or rolls it back, by kind; a failed transaction is always rolled back. If
// none is open, it sends a warning, as PostgreSQL does.
func (c *session) end(ctx context.Context, kind string) (tag string, err error) {
	status := c.status
	if status == 'I' {
		c.backend.Send(&pgproto3.NoticeResponse{Severity: "WARNING", SeverityUnlocalized: "WARNING", Code: "25P01", Message: "there is no transaction in progress"})
		return strings.ToUpper(kind), nil
	}
	if status == 'E' || kind == rollback {
		tag = "ROLLBACK"
	} else {
		tag = "COMMIT"
	}
	if _, err := c.db.ExecContext(context.WithoutCancel(ctx), tag); err != nil {
		return "", err
	}
	c.status = 'I'
	return tag, nil
}

// exec executes a statement that returns no rows.
func (c *session) exec(ctx context.Context, p *portal) (tag string, err error) {
	result, err := c.db.ExecContext(ctx, p.sqlite, p.args...)
	if err != nil {
		return "", err
	}
	n, err := result.RowsAffected()
	switch p.kind {
	case "insert":
		tag = fmt.Sprintf("INSERT 0 %d", n)
	case "update", "delete":
		tag = fmt.Sprintf("%s %d", strings.ToUpper(p.kind), n)
	default:
		tag = strings.ToUpper(p.kind)
	}
	return tag, err
}

// query executes a statement that returns rows.
func (c *session) query(ctx context.Context, p *portal) (rows [][]any, tag string, err error) {
	r, err := c.db.QueryContext(ctx, p.sqlite, p.args...)
	if err != nil {
		return nil, "", err
	}
	defer r.Close()
	for r.Next() {
		row := make([]any, len(p.columns))
		targets := make([]any, len(row))
		for n := range row {
			targets[n] = &row[n]
		}
		if err := r.Scan(targets...); err != nil {
			return nil, "", err
		}
		if rows = append(rows, row); len(rows) > maxRows {
			return nil, "", &failure{"54000", fmt.Sprintf("the stand-in returns %d rows at most", maxRows)}
		}
	}
	if err := r.Err(); err != nil {
		return nil, "", err
	}
	tag = fmt.Sprintf("SELECT %d", len(rows))
	if p.kind == "insert" {
		tag = fmt.Sprintf("INSERT 0 %d", len(rows))
	} else if p.kind != "select" {
		tag = fmt.Sprintf("%s %d", strings.ToUpper(p.kind), len(rows))
	}
	return rows, tag, nil
}
