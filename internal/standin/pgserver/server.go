// Package pgserver is a stand-in for a PostgreSQL server, for tests over loopback: it
// speaks the published frontend/backend protocol, version 3 (PostgreSQL's manual, part
// VII, chapter "Frontend/Backend Protocol"), in front of an embedded SQLite database.
// It runs the statements that this repository sends, unchanged, and causes on demand
// what a real server does on bad days. What it does otherwise than PostgreSQL is said
// in docs/design/record.md: above all, one transaction writes at a time, and a
// statement whose result types it can't tell is an error.
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

// Config says what the server is. The zero Config lets the user "app" in without a
// password.
type Config struct {
	User, Password string
	TLS            *tls.Config // nil: connections are plain
	MaxConns       int         // 0: 100
	Dir            string      // of the database, which outlives the server; "": its own
}

// Stage is how far a statement has come.
type Stage string

const (
	Before Stage = "before" // it has not been carried out
	After  Stage = "after"  // it has, and its reply has not been sent
)

// Event is a statement at a stage. N counts all events of the server from 1.
type Event struct {
	Number int64
	Conn   int64 // counts from 1
	Stage  Stage
	SQL    string
}

// Fault is what happens to a statement. The zero Fault is none.
type Fault struct {
	Delay time.Duration // first
	Stall bool          // no more comes on the connection, until it is closed or canceled
	Reset bool          // the connection is reset
	Code  string        // SQLSTATE of an error; of class 57P it ends the connection
}

// Server is the stand-in.
type Server struct {
	cfg   Config
	id    int64
	ln    net.Listener
	db    *sql.DB
	dir   string
	scram *scram.Server
	end   chan struct{}
	wg    sync.WaitGroup

	events, conns atomic.Int64

	mu        sync.Mutex
	open      map[*session]struct{}
	inject    func(Event) Fault
	readOnly  bool
	skew      time.Duration
	rejecting bool // new connections are rejected
}

// servers finds a server for the SQL functions that need one.
var servers sync.Map // id to *Server

var ids atomic.Int64

// Start starts a server on a free port of 127.0.0.1.
func Start(cfg Config) (_ *Server, err error) {
	if cfg.User == "" {
		cfg.User = "app"
	}
	if cfg.MaxConns == 0 {
		cfg.MaxConns = 100
	}
	s := &Server{cfg: cfg, id: ids.Add(1), dir: cfg.Dir, end: make(chan struct{}), open: make(map[*session]struct{})}
	if cfg.Dir == "" {
		if s.dir, err = os.MkdirTemp("", "pgserver"); err != nil {
			return nil, fmt.Errorf("pgserver: %w", err)
		}
	}
	if cfg.Password != "" {
		if s.scram, err = credentials(cfg.Password); err != nil {
			return nil, fmt.Errorf("pgserver: %w", err)
		}
	}
	if err := functions(); err != nil {
		return nil, fmt.Errorf("pgserver: %w", err)
	}
	if s.db, err = sqlitefile.Open(filepath.Join(s.dir, "data.db"), "busy_timeout(20000)", "journal_mode(WAL)", "synchronous(NORMAL)"); err != nil {
		return nil, fmt.Errorf("pgserver: %w", err)
	}
	// The first connection makes the file: two at once would be in each other's way.
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

// credentials makes what SCRAM-SHA-256 (RFC 7677) keeps of a password.
func credentials(password string) (*scram.Server, error) {
	// PostgreSQL takes the name from its start-up message and lets the one in SCRAM be
	// empty; see the manual, "SASL Authentication".
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return nil, err
	}
	salt := make([]byte, 16)
	rand.Read(salt)
	kept, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: 4096})
	if err != nil {
		return nil, err
	}
	return scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return kept, nil })
}

// Addr is where the server listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// URL is the connection string, without a password.
func (s *Server) URL() string {
	mode := "disable"
	if s.cfg.TLS != nil {
		mode = "require"
	}
	return fmt.Sprintf("postgres://%s@%s/app?sslmode=%s", s.cfg.User, s.Addr(), mode)
}

// Inject sets the function that is called for each event, nil for no faults. It is called from the
// connections' goroutines.
func (s *Server) Inject(f func(Event) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inject = f
}

// SetReadOnly makes the server refuse writes, as a standby does.
func (s *Server) SetReadOnly(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readOnly = on
}

// SetSkew sets the server's clock off by d.
func (s *Server) SetSkew(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skew = d
}

// SetRejecting makes the server turn new connections away, as one does that starts up.
func (s *Server) SetRejecting(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejecting = on
}

// ResetAll resets all connections.
func (s *Server) ResetAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.reset()
	}
}

// Conns is how many connections are open.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Close ends the server and its connections.
func (s *Server) Close() error {
	close(s.end)
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

func (s *Server) accept() {
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.wg.Go(func() { s.serve(nc) })
	}
}

// cancel carries out a cancel request; the key identifies the session.
func (s *Server) cancel(m *pgproto3.CancelRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c.pid == m.ProcessID && string(c.secret) == string(m.SecretKey) {
			c.interrupt()
		}
	}
}

// now is the server's time, in seconds since 1970.
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

// fault returns the injected fault of a statement.
func (s *Server) fault(c *session, stage Stage, text string) Fault {
	n := s.events.Add(1)
	s.mu.Lock()
	inject := s.inject
	s.mu.Unlock()
	if inject == nil {
		return Fault{}
	}
	return inject(Event{Number: n, Conn: c.eventCount, Stage: stage, SQL: text})
}
