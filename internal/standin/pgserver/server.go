// Package pgserver is a stand-in for a PostgreSQL server, for tests over loopback. It implements the
// published frontend/backend protocol, version 3 (PostgreSQL's manual, part VII, chapter
// "Frontend/Backend Protocol"), in front of an embedded SQLite database. It runs the statements
// that this repository sends, unchanged, and injects the faults of a real server on demand. Its
// differences from PostgreSQL are listed in docs/design/record.md. The main ones: only one
// transaction at a time can write, and a statement whose result types the stand-in can't determine
// is an error.
package pgserver

import (
	"crypto/rand"
	"crypto/tls"
	"database/sql"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"martendrum/internal/sqlitefile"
)

// Config is the configuration of a server. With the zero Config the user "app" connects without a
// password.
type Config struct {
	User, Password string      // User "": "app"; Password "": none is asked for
	TLS            *tls.Config // nil: the server offers no encryption
	MaxConns       int         // 0: 100
	Dir            string      // the database's folder, which Close keeps; "": a temporary one, which Close removes
}

// Stage is a stage of a statement's execution.
type Stage string

// Stages of a statement's execution.
const (
	Before Stage = "before" // the statement has not been executed
	After  Stage = "after"  // the statement has been executed, and its reply has not been sent
)

// Event is a statement that has reached a stage.
type Event struct {
	Number int64 // of the event, from 1, over all connections of the server
	Conn   int64 // number of the connection, from 1
	Stage  Stage
	SQL    string // the statement as the client sent it
}

// Fault is what the server does with a statement at a stage. The zero Fault has no effect. If several
// fields are set, Delay comes first, and then the first of the others.
type Fault struct {
	Delay time.Duration // added to the duration of the stage
	Stall bool          // nothing more is sent until the statement is canceled or times out, or the server resets the connection
	Reset bool          // the connection is reset
	Code  string        // SQLSTATE of the error that the statement returns; class 57P also ends the connection
}

// Server is a running stand-in. Its methods may be called from several goroutines, except for Close,
// which may be called once.
type Server struct {
	cfg     Config
	id      int64 // the key in servers
	ln      net.Listener
	db      *sql.DB
	dir     string
	scram   *scram.Server // nil: no password is asked for
	closing chan struct{} // closed by Close
	wg      sync.WaitGroup

	events, conns atomic.Int64 // numbers of the last event and connection

	mu        sync.Mutex
	open      map[*session]struct{}
	inject    func(Event) Fault // nil: no faults
	readOnly  bool
	skew      time.Duration // added to the time of the machine's clock
	rejecting bool          // new connections are rejected
}

// servers contains the *Server of each id, for the SQL functions that need one.
var servers sync.Map

// lastServerID is the id of the last Server that was started.
var lastServerID atomic.Int64

// Start starts a server on a free port of 127.0.0.1. The caller ends it with Close.
func Start(cfg Config) (_ *Server, err error) {
	if cfg.User == "" {
		cfg.User = "app"
	}
	if cfg.MaxConns == 0 {
		cfg.MaxConns = 100
	}
	s := &Server{cfg: cfg, id: lastServerID.Add(1), dir: cfg.Dir, closing: make(chan struct{}), open: make(map[*session]struct{})}
	if cfg.Dir == "" {
		if s.dir, err = os.MkdirTemp("", "pgserver"); err != nil {
			return nil, fmt.Errorf("pgserver: %w", err)
		}
	}
	if cfg.Password != "" {
		if s.scram, err = newSCRAMServer(cfg.Password); err != nil {
			return nil, fmt.Errorf("pgserver: %w", err)
		}
	}
	if err := registerFunctions(); err != nil {
		return nil, fmt.Errorf("pgserver: %w", err)
	}
	if s.db, err = sqlitefile.Open(filepath.Join(s.dir, "data.db"), "busy_timeout(20000)", "journal_mode(WAL)", "synchronous(NORMAL)"); err != nil {
		return nil, fmt.Errorf("pgserver: %w", err)
	}
	// The first connection creates the file. Two connections that do so at the same time would
	// conflict.
	if err := s.db.Ping(); err != nil {
		s.db.Close()
		return nil, fmt.Errorf("pgserver: %w", err)
	}
	if s.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		s.db.Close()
		return nil, fmt.Errorf("pgserver: %w", err)
	}
	servers.Store(s.id, s)
	s.wg.Go(s.accept)
	return s, nil
}

// newSCRAMServer returns a server for SCRAM-SHA-256 (RFC 7677) that accepts the given password from
// every user.
func newSCRAMServer(password string) (*scram.Server, error) {
	// PostgreSQL uses the user name of the start-up message and ignores the one in SCRAM, which
	// may be empty; see the manual, "SASL Authentication".
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return nil, err
	}
	salt := make([]byte, 16)
	rand.Read(salt)
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: 4096})
	if err != nil {
		return nil, err
	}
	return scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
}

// Addr returns the server's address, host:port.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// URL returns a connection string without a password. With TLS it requires encryption.
func (s *Server) URL() string {
	mode := "disable"
	if s.cfg.TLS != nil {
		mode = "require"
	}
	return fmt.Sprintf("postgres://%s@%s/app?sslmode=%s", s.cfg.User, s.Addr(), mode)
}

// Inject sets a function that is called at each event and returns the fault to inject; nil: no faults.
// The function is called from the connections' goroutines, several at the same time. Statements
// that wait because of an earlier fault continue to wait.
func (s *Server) Inject(f func(Event) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inject = f
}

// SetReadOnly makes the server reject statements that write, as a standby does.
func (s *Server) SetReadOnly(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readOnly = on
}

// SetSkew makes the server's clock differ from the machine's by d, which may be negative.
func (s *Server) SetSkew(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skew = d
}

// SetRejecting makes the server reject new connections, as a server does that is starting up.
func (s *Server) SetRejecting(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejecting = on
}

// ResetAll resets all open connections and cancels their statements.
func (s *Server) ResetAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.reset()
	}
}

// OpenSessions returns the number of sessions that are open, including those that are authenticating.
func (s *Server) OpenSessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Close stops the server, resets its connections and waits for their goroutines. It returns the error
// of closing the database.
func (s *Server) Close() error {
	close(s.closing)
	s.ln.Close()
	s.ResetAll()
	s.wg.Wait()
	servers.Delete(s.id)
	err := s.db.Close()
	if s.cfg.Dir == "" {
		os.RemoveAll(s.dir)
	}
	return err
}

// accept accepts connections until the listener is closed.
func (s *Server) accept() {
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.wg.Go(func() { s.serve(nc) })
	}
}

// cancel executes a cancel request: it cancels the statement of the session with the request's process
// ID and key.
func (s *Server) cancel(m *pgproto3.CancelRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c.pid == m.ProcessID && string(c.secret) == string(m.SecretKey) {
			c.interrupt()
		}
	}
}

// now returns the time of the server's clock, in seconds since 1970.
func (s *Server) now() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(time.Now().Add(s.skew).UnixMicro()) / 1e6
}

func (s *Server) isReadOnly() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readOnly
}

// fault counts an event and returns the fault to inject at it.
func (s *Server) fault(c *session, stage Stage, text string) Fault {
	n := s.events.Add(1)
	s.mu.Lock()
	inject := s.inject
	s.mu.Unlock()
	if inject == nil {
		return Fault{}
	}
	return inject(Event{Number: n, Conn: c.number, Stage: stage, SQL: text})
}
