package pgserver

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	driver "modernc.org/sqlite"
	lib "modernc.org/sqlite/lib"
)

// session is one client's session. One goroutine serves it; reset and interrupt may be called from
// others.
type session struct {
	srv     *Server
	raw, nc net.Conn // raw is the TCP connection; nc is the TLS connection over it or, without TLS, raw
	backend *pgproto3.Backend
	db      *sql.Conn
	types   *pgtype.Map   // caches encoding plans without a lock, so sessions can't share one
	number  int64         // of the connection, from 1
	pid     uint32        // the process ID that cancel requests contain
	secret  []byte        // the key that cancel requests contain
	timeout time.Duration // of a statement; 0: none

	statements map[string]*statement // by name
	portals    map[string]*portal    // by name
	status     byte                  // as in ReadyForQuery; I: idle, T: in a transaction, E: in a failed transaction
	skipping   bool                  // after an error in the extended protocol, messages are ignored until Sync

	mu     sync.Mutex
	cancel context.CancelFunc // cancels the statement that is being executed; nil: none is
}

// statement is a prepared statement.
type statement struct {
	*query
}

// portal is a statement with the values of its parameters.
type portal struct {
	*query
	args    []any
	formats []int16 // format codes of the result's columns, see formatOf
}

// failure is an error with its SQLSTATE.
type failure struct {
	code, text string
}

// Error implements error.
func (f *failure) Error() string { return f.code + ": " + f.text }

// errClosed is returned by the handler of a message to end the session without a reply.
var errClosed = errors.New("pgserver: the connection is closed")

// parseTimeout parses the client's statement_timeout, in milliseconds; "" and 0: no timeout.
func parseTimeout(ms string) (time.Duration, error) {
	if ms == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(ms)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("invalid value for parameter \"statement_timeout\": %q", ms)
	}
	return time.Duration(n) * time.Millisecond, nil
}

// reset resets the connection and cancels the statement that is being executed.
func (c *session) reset() {
	if tcpConn, ok := c.raw.(*net.TCPConn); ok {
		tcpConn.SetLinger(0)
	}
	c.raw.Close()
	c.interrupt()
}

// interrupt cancels the statement that is being executed, if any.
func (c *session) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
}

// run handles the client's messages until the session ends, and rolls back a transaction that is open
// then.
func (c *session) run() {
	c.status = 'I'
	defer func() {
		if c.status != 'I' { // the session ended within a transaction
			ctx, cancel := context.WithTimeout(context.Background(), startupTimeout)
			c.db.ExecContext(ctx, "ROLLBACK")
			cancel()
		}
	}()
	for {
		m, err := c.backend.Receive()
		if err != nil {
			return
		}
		if _, isSync := m.(*pgproto3.Sync); c.skipping && !isSync {
			if _, isTerminate := m.(*pgproto3.Terminate); isTerminate {
				return
			}
			continue
		}
		err = c.handleMessage(m)
		if errors.Is(err, errClosed) {
			return
		}
		if err != nil {
			if !c.sendError(err) {
				return
			}
			if _, isQuery := m.(*pgproto3.Query); isQuery {
				c.sendReadyForQuery()
			} else {
				c.skipping = true
			}
		}
		switch m.(type) {
		case *pgproto3.Sync, *pgproto3.Query, *pgproto3.Flush:
			if c.backend.Flush() != nil {
				return
			}
		}
	}
}

// sendReadyForQuery sends ReadyForQuery with the transaction status.
func (c *session) sendReadyForQuery() { c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.status}) }

// sendError sends an error and makes an open transaction fail. It returns false if the error ends the
// session.
func (c *session) sendError(err error) (continues bool) {
	f := failureOf(err)
	severity := "ERROR"
	if strings.HasPrefix(f.code, "57P") {
		severity = "FATAL"
	}
	c.backend.Send(&pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: f.code, Message: f.text})
	if severity == "FATAL" {
		c.backend.Flush()
		return false
	}
	if c.status == 'T' {
		c.status = 'E'
	}
	return true
}

// failureOf returns err as a failure, with the SQLSTATE that PostgreSQL would send.
func failureOf(err error) *failure {
	if f, ok := errors.AsType[*failure](err); ok {
		return f
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return &failure{"57014", "canceling statement due to user request or statement timeout"}
	}
	code := "XX000"
	if e, ok := errors.AsType[*driver.Error](err); ok {
		code = map[int]string{lib.SQLITE_CONSTRAINT: "23505", lib.SQLITE_BUSY: "55P03", lib.SQLITE_INTERRUPT: "57014",
			lib.SQLITE_FULL: "53100", lib.SQLITE_READONLY: "25006", lib.SQLITE_ERROR: "42601"}[e.Code()&0xff]
		switch text := e.Error(); {
		case strings.Contains(text, "no such table"):
			code = "42P01"
		case strings.Contains(text, "already exists"):
			code = "42P07"
		case strings.Contains(text, "no such column"):
			code = "42703"
		case code == "":
			code = "XX000"
		}
	}
	return &failure{code, err.Error()}
}

// handleMessage handles one message of the client.
func (c *session) handleMessage(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Query:
		return c.runSimpleQuery(m.String)
	case *pgproto3.Parse:
		q, err := c.srv.parse(m.Query, m.ParameterOIDs)
		if err != nil {
			return err
		}
		c.statements[m.Name] = &statement{q}
		c.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Describe:
		return c.describe(m)
	case *pgproto3.Bind:
		return c.bind(m)
	case *pgproto3.Execute:
		p := c.portals[m.Portal]
		if p == nil {
			return &failure{"34000", fmt.Sprintf("portal %q does not exist", m.Portal)}
		}
		return c.execute(p)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.statements, m.Name)
		} else {
			delete(c.portals, m.Name)
		}
		c.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		c.skipping = false
		clear(c.portals)
		c.sendReadyForQuery()
	case *pgproto3.Flush:
	case *pgproto3.Terminate:
		return errClosed
	default:
		return &failure{"0A000", fmt.Sprintf("the stand-in does not take %T", m)}
	}
	return nil
}

// runSimpleQuery executes a Query message, which contains any number of statements.
func (c *session) runSimpleQuery(text string) error {
	parts := splitStatements(text)
	if len(parts) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, part := range parts {
		q, err := c.srv.parse(part, nil)
		if err != nil {
			return err
		}
		if len(q.params) > 0 {
			return &failure{"42P02", "there is no parameter $1"}
		}
		if len(q.columns) > 0 {
			c.backend.Send(q.description(nil))
		}
		if err := c.execute(&portal{query: q}); err != nil {
			return err
		}
	}
	c.sendReadyForQuery()
	return nil
}

// describe handles a Describe message: it sends the types of a statement's parameters and the columns of
// a statement's or portal's result.
func (c *session) describe(m *pgproto3.Describe) error {
	var q *query
	var formats []int16
	if m.ObjectType == 'S' {
		s := c.statements[m.Name]
		if s == nil {
			return &failure{"26000", fmt.Sprintf("prepared statement %q does not exist", m.Name)}
		}
		q = s.query
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: q.params})
	} else {
		p := c.portals[m.Name]
		if p == nil {
			return &failure{"34000", fmt.Sprintf("portal %q does not exist", m.Name)}
		}
		q, formats = p.query, p.formats
	}
	if len(q.columns) == 0 {
		c.backend.Send(&pgproto3.NoData{})
	} else {
		c.backend.Send(q.description(formats))
	}
	return nil
}

// bind handles a Bind message: it makes a portal of a prepared statement and its parameters.
func (c *session) bind(m *pgproto3.Bind) error {
	s := c.statements[m.PreparedStatement]
	if s == nil {
		return &failure{"26000", fmt.Sprintf("prepared statement %q does not exist", m.PreparedStatement)}
	}
	if len(m.Parameters) != len(s.params) {
		return &failure{"08P01", fmt.Sprintf("bind message supplies %d parameters, but prepared statement %q requires %d", len(m.Parameters), m.PreparedStatement, len(s.params))}
	}
	p := &portal{query: s.query, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for n, raw := range m.Parameters {
		v, err := decode(c.types, s.params[n], formatOf(m.ParameterFormatCodes, n), raw)
		if err != nil {
			return &failure{"22P02", fmt.Sprintf("parameter $%d: %v", n+1, err)}
		}
		p.args = append(p.args, v)
	}
	c.portals[m.DestinationPortal] = p
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}
