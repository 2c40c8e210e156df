package pgserver

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var ctx = context.Background()

// startServer starts a server that is closed when the test ends.
func startServer(t *testing.T, cfg Config) *Server {
	t.Helper()
	s, err := Start(cfg)
	if err != nil {
		t.Fatal("starting the server: ", err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// connect opens a connection that is closed when the test ends.
func connect(t *testing.T, url string) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(ctx, url)
	if err != nil {
		t.Fatal("connecting to the server: ", err)
	}
	t.Cleanup(func() { c.Close(ctx) })
	return c
}

// sqlState returns the SQLSTATE of an error of the server, or the text of another error.
func sqlState(err error) string {
	if e, ok := errors.AsType[*pgconn.PgError](err); ok {
		return e.Code
	}
	return fmt.Sprint(err)
}

// createTable creates the table that the tests use.
const createTable = "CREATE TABLE t (k TEXT PRIMARY KEY, n BIGINT, b BYTEA, yes BOOLEAN)"

// TestSessionsShareNoTypes lets several sessions decode parameters and encode results at the same time,
// so that the race detector reports a type map that they share. It is the first test, as a shared
// type map would be written only when it is first used.
func TestSessionsShareNoTypes(t *testing.T) {
	const sessions = 8
	s := startServer(t, Config{})
	if _, err := connect(t, s.URL()).Exec(ctx, createTable); err != nil {
		t.Fatal("creating the table: ", err)
	}
	start := make(chan struct{})
	results := make(chan error, sessions)
	for n := range sessions {
		c := connect(t, s.URL())
		go func() {
			<-start
			var number int64
			var yes bool
			key := fmt.Sprint(n)
			_, err := c.Exec(ctx, "INSERT INTO t (k, n, b, yes) VALUES ($1::text, $2::bigint, $3::bytea, $4::boolean) ON CONFLICT (k) DO NOTHING", key, int64(n), []byte{1}, true)
			if err == nil {
				err = c.QueryRow(ctx, "SELECT n, yes FROM t WHERE k = $1::text FOR UPDATE", key).Scan(&number, &yes)
			}
			if err == nil && (number != int64(n) || !yes) {
				err = fmt.Errorf("session %d read %d, %v; want %d, true", n, number, yes, n)
			}
			results <- err
		}()
	}
	close(start)
	for range sessions {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}

// TestQueries runs statements in each way that pgx sends them: with prepared statements and binary
// formats, with the simple protocol, and in batches.
func TestQueries(t *testing.T) {
	s := startServer(t, Config{})
	c := connect(t, s.URL())
	if tag, err := c.Exec(ctx, createTable+"; CREATE INDEX i ON t (n);"); err != nil || tag.String() != "CREATE" {
		t.Fatalf("two statements in one query: got tag %q, %v; want %q", tag, err, "CREATE")
	}
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec, pgx.QueryExecModeExec} {
		key := mode.String()
		tag, err := c.Exec(ctx, "INSERT INTO t (k, n, b, yes) VALUES ($1::text, $2::bigint, $3::bytea, $4::boolean) ON CONFLICT (k) DO NOTHING", mode, key, int64(-7), []byte{0, 255}, true)
		if err != nil || tag.RowsAffected() != 1 || tag.String() != "INSERT 0 1" {
			t.Fatalf("%v: INSERT: got tag %q, %v; want %q", mode, tag, err, "INSERT 0 1")
		}
		var k string
		var n int64
		var b []byte
		var yes bool
		if err := c.QueryRow(ctx, "SELECT k, n, b, yes FROM t WHERE k = $1::text FOR UPDATE", mode, key).Scan(&k, &n, &b, &yes); err != nil || k != key || n != -7 || string(b) != "\x00\xff" || !yes {
			t.Errorf("%v: SELECT: got %q, %d, %x, %v, error %v; want %q, -7, 00ff, true", mode, k, n, b, yes, err, key)
		}
		if err := c.QueryRow(ctx, "UPDATE t SET n = n + $2::bigint WHERE k = $1::text RETURNING n", mode, key, int64(10)).Scan(&n); err != nil || n != 3 {
			t.Errorf("%v: UPDATE with RETURNING: got %d, error %v; want 3", mode, n, err)
		}
	}
	var null *int64
	if _, err := c.Exec(ctx, "INSERT INTO t (k, n) VALUES ('it''s null', $1::bigint)", nil); err != nil {
		t.Error("inserting NULL: ", err)
	}
	if err := c.QueryRow(ctx, "SELECT n FROM t WHERE k = 'it''s null'").Scan(&null); err != nil || null != nil {
		t.Errorf("reading NULL: got %v, error %v; want nil", null, err)
	}
	batch := &pgx.Batch{}
	var got []int64
	for n := range 5 {
		batch.Queue("SELECT CAST($1::bigint * 2 AS bigint)", int64(n)).QueryRow(func(r pgx.Row) error {
			var v int64
			err := r.Scan(&v)
			got = append(got, v)
			return err
		})
	}
	if err := c.SendBatch(ctx, batch).Close(); err != nil || fmt.Sprint(got) != "[0 2 4 6 8]" {
		t.Errorf("batch: got %v, error %v; want [0 2 4 6 8]", got, err)
	}
	for q, want := range map[string]string{
		"SELEC 1": "0A000", "SELECT k FROM none": "42P01", "SELECT none FROM t": "42703", "SELECT 'open": "42601", "INSERT INTO t (k) VALUES ('it''s null')": "23505",
		"SELECT count(*) FROM t": "0A000", "CREATE TABLE t (k TEXT)": "42P07", "DELETE t WHERE": "42601",
	} {
		if _, err := c.Exec(ctx, q); sqlState(err) != want {
			t.Errorf("%s: got error %v, want SQLSTATE %s", q, err, want)
		}
		if _, err := c.Exec(ctx, q, pgx.QueryExecModeDescribeExec); sqlState(err) != want {
			t.Errorf("%s, extended protocol: got error %v, want SQLSTATE %s", q, err, want)
		}
	}
	if _, err := c.Exec(ctx, "DELETE FROM t WHERE k = $1", "x"); sqlState(err) != "42P18" {
		t.Errorf("parameter of unknown type: got error %v, want SQLSTATE 42P18", err)
	}
}

// TestTransactions checks that transactions are isolated, that an error makes a transaction fail, and that
// a failed transaction and one whose connection is closed are rolled back.
func TestTransactions(t *testing.T) {
	s := startServer(t, Config{})
	a, b := connect(t, s.URL()), connect(t, s.URL())
	a.Exec(ctx, createTable)
	count := func(c *pgx.Conn) (n int64) {
		if err := c.QueryRow(ctx, "SELECT CAST(count(*) AS bigint) FROM t").Scan(&n); err != nil {
			t.Error("counting the rows: ", err)
		}
		return n
	}
	tx, err := a.Begin(ctx)
	if err != nil {
		t.Fatal("beginning a transaction: ", err)
	}
	tx.Exec(ctx, "INSERT INTO t (k) VALUES ('a')")
	if status := a.PgConn().TxStatus(); status != 'T' || count(b) != 0 {
		t.Errorf("open transaction: got status %c, %d rows at another connection; want T, 0", status, count(b))
	}
	if _, err := tx.Exec(ctx, "SELECT none FROM t"); sqlState(err) != "42703" || a.PgConn().TxStatus() != 'E' {
		t.Errorf("error within a transaction: got %v, status %c; want SQLSTATE 42703, status E", err, a.PgConn().TxStatus())
	}
	if _, err := tx.Exec(ctx, "SELECT k FROM t"); sqlState(err) != "25P02" {
		t.Errorf("statement in a failed transaction: got error %v, want SQLSTATE 25P02", err)
	}
	if err := tx.Commit(ctx); !errors.Is(err, pgx.ErrTxCommitRollback) || count(b) != 0 || a.PgConn().TxStatus() != 'I' {
		t.Errorf("commit of a failed transaction: got error %v, %d rows, status %c; want a rollback, 0 rows, status I", err, count(b), a.PgConn().TxStatus())
	}
	if err := pgx.BeginFunc(ctx, a, func(tx pgx.Tx) error {
		_, err := tx.Exec(ctx, "INSERT INTO t (k) VALUES ('b')")
		return err
	}); err != nil || count(b) != 1 {
		t.Errorf("committed transaction: got error %v, %d rows; want 1 row", err, count(b))
	}
	// A connection that is closed within a transaction rolls it back.
	tx, _ = a.Begin(ctx)
	tx.Exec(ctx, "INSERT INTO t (k) VALUES ('c')")
	a.PgConn().Conn().Close()
	if _, err := b.Exec(ctx, "INSERT INTO t (k) VALUES ('d')"); err != nil || count(b) != 2 {
		t.Errorf("after a connection was closed in a transaction: got error %v, %d rows; want 2 rows", err, count(b))
	}
}

// TestPasswords checks that only the configured user with the configured password can connect.
func TestPasswords(t *testing.T) {
	s := startServer(t, Config{User: "kasir", Password: "ra/ha:sia"})
	for password, want := range map[string]string{"ra%2Fha%3Asia": "", "wrong": "28P01", "": ""} {
		c, err := pgx.Connect(ctx, strings.Replace(s.URL(), "kasir@", "kasir:"+password+"@", 1))
		if err == nil {
			c.Close(ctx)
		}
		if password == "" && err == nil || want != "" && sqlState(err) != want || password != "" && want == "" && err != nil {
			t.Errorf("password %q: got error %v; want SQLSTATE %q, for the right password no error, for an empty one any error", password, err, want)
		}
	}
	if _, err := pgx.Connect(ctx, strings.Replace(s.URL(), "kasir", "nobody", 1)); sqlState(err) != "28P01" {
		t.Errorf("unknown user: got error %v, want SQLSTATE 28P01", err)
	}
}

// TestTLS checks that a session on an encrypted connection works.
func TestTLS(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal("generating a key: ", err)
	}
	certificate := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, certificate, certificate, &key.PublicKey, key)
	if err != nil {
		t.Fatal("making a certificate: ", err)
	}
	s := startServer(t, Config{TLS: &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}})
	c := connect(t, s.URL())
	if _, ok := c.PgConn().Conn().(*tls.Conn); !ok {
		t.Error("the connection is not encrypted")
	}
	if _, err := c.Exec(ctx, createTable); err != nil {
		t.Error("statement on an encrypted connection: ", err)
	}
}

// TestFaults checks the effect of each fault at each stage, of cancel requests, of a read-only server and
// of the limits on new connections.
func TestFaults(t *testing.T) {
	s := startServer(t, Config{MaxConns: 4})
	observer := connect(t, s.URL())
	observer.Exec(ctx, createTable)
	exists := func(k string) bool {
		var got string
		return observer.QueryRow(ctx, "SELECT k FROM t WHERE k = $1::text", k).Scan(&got) == nil
	}
	n := 0
	for _, f := range []struct {
		fault      Fault
		stage      Stage
		wantState  string // SQLSTATE; "": any error
		wantStored bool   // the statement has taken effect
	}{
		{Fault{Reset: true}, Before, "", false}, {Fault{Reset: true}, After, "", true},
		{Fault{Code: "57P01"}, Before, "57P01", false}, {Fault{Code: "57P01"}, After, "57P01", true},
		{Fault{Code: "40001"}, Before, "40001", false}, {Fault{Delay: time.Hour}, Before, "57014", false}, {Fault{Stall: true}, Before, "57014", false},
		{Fault{Stall: true}, After, "57014", true},
	} {
		n++
		key := fmt.Sprint("k", n)
		c := connect(t, s.URL()+"&statement_timeout=100")
		s.Inject(func(e Event) Fault {
			if e.Stage == f.stage && strings.Contains(e.SQL, key) {
				return f.fault
			}
			return Fault{}
		})
		_, err := c.Exec(ctx, "INSERT INTO t (k) VALUES ('"+key+"')")
		if err == nil || f.wantState != "" && sqlState(err) != f.wantState || exists(key) != f.wantStored {
			t.Errorf("%+v %s: got error %v, row stored %v; want SQLSTATE %q, %v", f.fault, f.stage, err, exists(key), f.wantState, f.wantStored)
		}
		c.Close(ctx)
	}
	c := connect(t, s.URL())
	checkCancelStopsStatement(t, s, c)
	s.Inject(nil)
	s.SetReadOnly(true)
	if _, err := c.Exec(ctx, "DELETE FROM t"); sqlState(err) != "25006" {
		t.Errorf("DELETE on a read-only server: got error %v, want SQLSTATE 25006", err)
	}
	if !exists("k2") {
		t.Error("SELECT on a read-only server did not return the row")
	}
	s.SetReadOnly(false)
	connect(t, s.URL())
	connect(t, s.URL())
	if _, err := pgx.Connect(ctx, s.URL()); sqlState(err) != "53300" {
		t.Errorf("connection above MaxConns: got error %v, want SQLSTATE 53300", err)
	}
	s.SetRejecting(true)
	if _, err := pgx.Connect(ctx, s.URL()); sqlState(err) != "57P03" {
		t.Errorf("connection to a rejecting server: got error %v, want SQLSTATE 57P03", err)
	}
}

// checkCancelStopsStatement checks that a cancel request stops a statement, and that the connection can
// still be used afterwards. It repeats the request, as one that arrives before the statement has
// no effect.
func checkCancelStopsStatement(t *testing.T, s *Server, c *pgx.Conn) {
	t.Helper()
	s.Inject(func(e Event) Fault {
		if strings.Contains(e.SQL, "slow") {
			return Fault{Delay: time.Hour}
		}
		return Fault{}
	})
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(ctx, "SELECT 'slow'")
		done <- err
	}()
	for {
		if err := c.PgConn().CancelRequest(ctx); err != nil {
			t.Fatal("sending a cancel request: ", err)
		}
		select {
		case err := <-done:
			if sqlState(err) != "57014" {
				t.Errorf("canceled statement: got error %v, want SQLSTATE 57014", err)
			}
			if _, err := c.Exec(ctx, "SELECT 'quick'"); err != nil {
				t.Error("statement after a canceled one: ", err)
			}
		case <-time.After(20 * time.Millisecond):
			continue
		}
		break
	}
}

// message returns the bytes of a message of the protocol.
func message(kind byte, body string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4)), body...)
}

// startSession opens a connection without pgx, sends the start-up message and returns the connection
// once the server has sent ReadyForQuery. It is closed when the test ends.
func startSession(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal("connecting to the server: ", err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	body := "\x00\x03\x00\x00user\x00app\x00database\x00app\x00\x00"
	c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...))
	if got := readUntilReady(t, c); !strings.HasPrefix(got, "RSSS") || !strings.HasSuffix(got, "KNZ") {
		t.Fatalf("start-up: got messages %s, want RSSS...KNZ", got)
	}
	return c
}

// readUntilReady reads the server's messages up to ReadyForQuery and returns their type bytes, with a dot
// at the end if the connection ends before.
func readUntilReady(t *testing.T, c net.Conn) (types string) {
	t.Helper()
	for {
		var head [5]byte
		if _, err := io.ReadFull(c, head[:]); err != nil {
			return types + "."
		}
		if _, err := io.CopyN(io.Discard, c, int64(binary.BigEndian.Uint32(head[1:]))-4); err != nil {
			return types + "."
		}
		if types += string(head[0]); head[0] == 'Z' {
			return types
		}
	}
}

// TestRawBytes checks the order of the server's messages against PostgreSQL's manual, with a client that
// writes the bytes of each message itself: after an error the server ignores the rest of a pipeline
// until Sync. It also sends invalid start-up messages and a message of an unknown type.
func TestRawBytes(t *testing.T) {
	s := startServer(t, Config{})
	c := startSession(t, s)
	sync := string(message('S', ""))
	parse := func(q string) string { return string(message('P', "\x00"+q+"\x00\x00\x00")) }
	describe, bind, execute := string(message('D', "S\x00")), string(message('B', "\x00\x00\x00\x00\x00\x00\x00\x00")), string(message('E', "\x00\x00\x00\x00\x00"))
	for _, test := range []struct{ send, want string }{
		{string(message('Q', "CREATE TABLE t (k TEXT)\x00")), "CZ"},
		{string(message('Q', "\x00")), "IZ"},
		{string(message('Q', "INSERT INTO t (k) VALUES ('a'); SELECT k FROM t\x00")), "CTDCZ"},
		{string(message('Q', "SELECT k FROM t; SELECT none FROM t; SELECT k FROM t\x00")), "TDCEZ"},
		{parse("SELECT k FROM t") + describe + bind + execute + sync, "1tT2DCZ"},
		{parse("SELECT none FROM t") + describe + bind + execute + sync, "EZ"},
		{execute + sync, "EZ"},
		{bind + execute + sync, "2DCZ"}, // the unnamed statement is still prepared
		{string(message('B', "\x00none\x00\x00\x00\x00\x00\x00\x00")) + execute + sync, "EZ"},
		{string(message('C', "S\x00")) + bind + sync, "3EZ"},
		{string(message('Q', "BEGIN\x00")) + string(message('Q', "COMMIT\x00")), "CZ"},
		{"", "CZ"}, // the reply to COMMIT, the second message of the row above
		{string(message('Q', "COMMIT\x00")), "NCZ"},
		{string(message('F', "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00")) + sync, "EZ"},
		{string(message('X', "")), "."},
	} {
		io.WriteString(c, test.send)
		if got := readUntilReady(t, c); got != test.want {
			t.Errorf("sent %q: got messages %s, want %s", test.send, got, test.want)
		}
	}
	for _, startup := range []string{"\x00\x00\x00\x04", "GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x08\x00\x03\x00\x00", "\xff\xff\xff\xff\x00\x03\x00\x00"} {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal("connecting to the server: ", err)
		}
		c.SetDeadline(time.Now().Add(20 * time.Second))
		io.WriteString(c, startup)
		c.(*net.TCPConn).CloseWrite()
		if got := readUntilReady(t, c); strings.Contains(got, "Z") {
			t.Errorf("invalid start-up message %q was accepted: got messages %s, want none of type Z", startup, got)
		}
		c.Close()
	}
	c = startSession(t, s)
	io.WriteString(c, "?\x00\x00\x00\x05x")
	if got := readUntilReady(t, c); strings.Contains(got, "Z") {
		t.Errorf("message of an unknown type was accepted: got messages %s, want none of type Z", got)
	}
}
