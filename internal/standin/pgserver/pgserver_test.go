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

func serve(t *testing.T, cfg Config) *Server {
	t.Helper()
	s, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func connect(t *testing.T, url string) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(ctx, url)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(ctx) })
	return c
}

func code(err error) string {
	if e, ok := errors.AsType[*pgconn.PgError](err); ok {
		return e.Code
	}
	return fmt.Sprint(err)
}

const table = "CREATE TABLE t (k TEXT PRIMARY KEY, n BIGINT, b BYTEA, yes BOOLEAN)"

// Sessions decode parameters and encode results at the same time; the race detector sees what they
// share. It stands first, as a shared table of types would be written at its first uses only.
func TestSessionsShareNoTypes(t *testing.T) {
	const sessions = 8
	s := serve(t, Config{})
	if _, err := connect(t, s.URL()).Exec(ctx, table); err != nil {
		t.Fatal(err)
	}
	start := make(chan struct{})
	failed := make(chan error, sessions)
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
				err = fmt.Errorf("session %d read %d, %v", n, number, yes)
			}
			failed <- err
		}()
	}
	close(start)
	for range sessions {
		if err := <-failed; err != nil {
			t.Error(err)
		}
	}
}

// pgx's ways to ask: prepared with binary formats, simple, and in batches.
func TestQueries(t *testing.T) {
	s := serve(t, Config{})
	c := connect(t, s.URL())
	if tag, err := c.Exec(ctx, table+"; CREATE INDEX i ON t (n);"); err != nil || tag.String() != "CREATE" {
		t.Fatal(tag, err)
	}
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec, pgx.QueryExecModeExec} {
		key := mode.String()
		tag, err := c.Exec(ctx, "INSERT INTO t (k, n, b, yes) VALUES ($1::text, $2::bigint, $3::bytea, $4::boolean) ON CONFLICT (k) DO NOTHING", mode, key, int64(-7), []byte{0, 255}, true)
		if err != nil || tag.RowsAffected() != 1 || tag.String() != "INSERT 0 1" {
			t.Fatal(mode, tag, err)
		}
		var k string
		var n int64
		var b []byte
		var yes bool
		if err := c.QueryRow(ctx, "SELECT k, n, b, yes FROM t WHERE k = $1::text FOR UPDATE", mode, key).Scan(&k, &n, &b, &yes); err != nil || k != key || n != -7 || string(b) != "\x00\xff" || !yes {
			t.Error(mode, k, n, b, yes, err)
		}
		if err := c.QueryRow(ctx, "UPDATE t SET n = n + $2::bigint WHERE k = $1::text RETURNING n", mode, key, int64(10)).Scan(&n); err != nil || n != 3 {
			t.Error(mode, n, err)
		}
	}
	var null *int64
	if _, err := c.Exec(ctx, "INSERT INTO t (k, n) VALUES ('it''s null', $1::bigint)", nil); err != nil {
		t.Error(err)
	}
	if err := c.QueryRow(ctx, "SELECT n FROM t WHERE k = 'it''s null'").Scan(&null); err != nil || null != nil {
		t.Error(null, err)
	}
	b := &pgx.Batch{}
	var got []int64
	for n := range 5 {
		b.Queue("SELECT CAST($1::bigint * 2 AS bigint)", int64(n)).QueryRow(func(r pgx.Row) error {
			var v int64
			err := r.Scan(&v)
			got = append(got, v)
			return err
		})
	}
	if err := c.SendBatch(ctx, b).Close(); err != nil || fmt.Sprint(got) != "[0 2 4 6 8]" {
		t.Error(got, err)
	}
	for q, want := range map[string]string{
		"SELEC 1": "0A000", "SELECT k FROM none": "42P01", "SELECT none FROM t": "42703", "SELECT 'open": "42601", "INSERT INTO t (k) VALUES ('it''s null')": "23505",
		"SELECT count(*) FROM t": "0A000", "CREATE TABLE t (k TEXT)": "42P07", "DELETE t WHERE": "42601",
	} {
		if _, err := c.Exec(ctx, q); code(err) != want {
			t.Errorf("%s: %v, want %s", q, err, want)
		}
		if _, err := c.Exec(ctx, q, pgx.QueryExecModeDescribeExec); code(err) != want {
			t.Errorf("%s, extended: %v, want %s", q, err, want)
		}
	}
	if _, err := c.Exec(ctx, "DELETE FROM t WHERE k = $1", "x"); code(err) != "42P18" {
		t.Error(err)
	}
}

func TestTransactions(t *testing.T) {
	s := serve(t, Config{})
	a, b := connect(t, s.URL()), connect(t, s.URL())
	a.Exec(ctx, table)
	count := func(c *pgx.Conn) (n int64) {
		if err := c.QueryRow(ctx, "SELECT CAST(count(*) AS bigint) FROM t").Scan(&n); err != nil {
			t.Error(err)
		}
		return n
	}
	tx, err := a.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	tx.Exec(ctx, "INSERT INTO t (k) VALUES ('a')")
	if status := a.PgConn().TxStatus(); status != 'T' || count(b) != 0 {
		t.Error(string(status), count(b))
	}
	if _, err := tx.Exec(ctx, "SELECT none FROM t"); code(err) != "42703" || a.PgConn().TxStatus() != 'E' {
		t.Error(err, a.PgConn().TxStatus())
	}
	if _, err := tx.Exec(ctx, "SELECT k FROM t"); code(err) != "25P02" {
		t.Error(err)
	}
	if err := tx.Commit(ctx); !errors.Is(err, pgx.ErrTxCommitRollback) || count(b) != 0 || a.PgConn().TxStatus() != 'I' {
		t.Error(err, count(b))
	}
	if err := pgx.BeginFunc(ctx, a, func(tx pgx.Tx) error {
		_, err := tx.Exec(ctx, "INSERT INTO t (k) VALUES ('b')")
		return err
	}); err != nil || count(b) != 1 {
		t.Error(err, count(b))
	}
	// A connection that ends in a transaction takes what it did along.
	tx, _ = a.Begin(ctx)
	tx.Exec(ctx, "INSERT INTO t (k) VALUES ('c')")
	a.PgConn().Conn().Close()
	if _, err := b.Exec(ctx, "INSERT INTO t (k) VALUES ('d')"); err != nil || count(b) != 2 {
		t.Error(err, count(b))
	}
}

func TestPasswords(t *testing.T) {
	s := serve(t, Config{User: "kasir", Password: "ra/ha:sia"})
	for pass, want := range map[string]string{"ra%2Fha%3Asia": "", "wrong": "28P01", "": ""} {
		c, err := pgx.Connect(ctx, strings.Replace(s.URL(), "kasir@", "kasir:"+pass+"@", 1))
		if err == nil {
			c.Close(ctx)
		}
		if pass == "" && err == nil || want != "" && code(err) != want || pass != "" && want == "" && err != nil {
			t.Errorf("%q: %v", pass, err)
		}
	}
	if _, err := pgx.Connect(ctx, strings.Replace(s.URL(), "kasir", "nobody", 1)); code(err) != "28P01" {
		t.Error(err)
	}
}

func TestTLS(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	of := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, of, of, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	s := serve(t, Config{TLS: &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}})
	c := connect(t, s.URL())
	if _, ok := c.PgConn().Conn().(*tls.Conn); !ok {
		t.Error("the connection is plain")
	}
	if _, err := c.Exec(ctx, table); err != nil {
		t.Error(err)
	}
}

// Each fault has its effect at its stage.
func TestFaults(t *testing.T) {
	s := serve(t, Config{MaxConns: 4})
	look := connect(t, s.URL())
	look.Exec(ctx, table)
	exists := func(k string) bool {
		var got string
		return look.QueryRow(ctx, "SELECT k FROM t WHERE k = $1::text", k).Scan(&got) == nil
	}
	n := 0
	for _, f := range []struct {
		fault Fault
		stage Stage
		want  string
		there bool
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
		if err == nil || f.want != "" && code(err) != f.want || exists(key) != f.there {
			t.Errorf("%+v %s: %v, there %v", f.fault, f.stage, err, exists(key))
		}
		c.Close(ctx)
	}
	c := connect(t, s.URL())
	checkCancelStopsStatement(t, s, c)
	s.Inject(nil)
	s.SetReadOnly(true)
	if _, err := c.Exec(ctx, "DELETE FROM t"); code(err) != "25006" {
		t.Error(err)
	}
	if !exists("k2") {
		t.Error("it can't be read")
	}
	s.SetReadOnly(false)
	connect(t, s.URL())
	connect(t, s.URL())
	if _, err := pgx.Connect(ctx, s.URL()); code(err) != "53300" {
		t.Error(err)
	}
	s.SetRejecting(true)
	if _, err := pgx.Connect(ctx, s.URL()); code(err) != "57P03" {
		t.Error(err)
	}
}

// checkCancelStopsStatement checks that a cancel request stops a statement, and that its connection
// can be used after it.
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
			t.Fatal(err)
		}
		select {
		case err := <-done:
			if code(err) != "57014" {
				t.Error(err)
			}
			if _, err := c.Exec(ctx, "SELECT 'quick'"); err != nil {
				t.Error(err)
			}
		case <-time.After(20 * time.Millisecond):
			continue
		}
		break
	}
}

// message is one of the protocol's, raw.
func message(kind byte, body string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4)), body...)
}

// raw begins a session by bytes and returns it after its first ReadyForQuery.
func raw(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	body := "\x00\x03\x00\x00user\x00app\x00database\x00app\x00\x00"
	c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...))
	if got := kinds(t, c); !strings.HasPrefix(got, "RSSS") || !strings.HasSuffix(got, "KNZ") {
		t.Fatalf("start-up: %s", got)
	}
	return c
}

// kinds reads to the next ReadyForQuery, or the end, and returns the kinds of messages.
func kinds(t *testing.T, c net.Conn) (out string) {
	t.Helper()
	for {
		var head [5]byte
		if _, err := io.ReadFull(c, head[:]); err != nil {
			return out + "."
		}
		if _, err := io.CopyN(io.Discard, c, int64(binary.BigEndian.Uint32(head[1:]))-4); err != nil {
			return out + "."
		}
		if out += string(head[0]); head[0] == 'Z' {
			return out
		}
	}
}

// The order of messages as the manual has it, by bytes: nothing of a pipeline is done
// after an error, until Sync.
func TestRawBytes(t *testing.T) {
	s := serve(t, Config{})
	c := raw(t, s)
	sync := string(message('S', ""))
	parse := func(q string) string { return string(message('P', "\x00"+q+"\x00\x00\x00")) }
	describe, bind, execute := string(message('D', "S\x00")), string(message('B', "\x00\x00\x00\x00\x00\x00\x00\x00")), string(message('E', "\x00\x00\x00\x00\x00"))
	for _, x := range []struct{ send, want string }{
		{string(message('Q', "CREATE TABLE t (k TEXT)\x00")), "CZ"},
		{string(message('Q', "\x00")), "IZ"},
		{string(message('Q', "INSERT INTO t (k) VALUES ('a'); SELECT k FROM t\x00")), "CTDCZ"},
		{string(message('Q', "SELECT k FROM t; SELECT none FROM t; SELECT k FROM t\x00")), "TDCEZ"},
		{parse("SELECT k FROM t") + describe + bind + execute + sync, "1tT2DCZ"},
		{parse("SELECT none FROM t") + describe + bind + execute + sync, "EZ"},
		{execute + sync, "EZ"},
		{bind + execute + sync, "2DCZ"}, // of the statement that is there still
		{string(message('B', "\x00none\x00\x00\x00\x00\x00\x00\x00")) + execute + sync, "EZ"},
		{string(message('C', "S\x00")) + bind + sync, "3EZ"},
		{string(message('Q', "BEGIN\x00")) + string(message('Q', "COMMIT\x00")), "CZ"},
		{"", "CZ"},
		{string(message('Q', "COMMIT\x00")), "NCZ"},
		{string(message('F', "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00")) + sync, "EZ"},
		{string(message('X', "")), "."},
	} {
		io.WriteString(c, x.send)
		if got := kinds(t, c); got != x.want {
			t.Errorf("%q: %s, want %s", x.send, got, x.want)
		}
	}
	for _, noise := range []string{"\x00\x00\x00\x04", "GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x08\x00\x03\x00\x00", "\xff\xff\xff\xff\x00\x03\x00\x00"} {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(20 * time.Second))
		io.WriteString(c, noise)
		c.(*net.TCPConn).CloseWrite()
		if got := kinds(t, c); strings.Contains(got, "Z") {
			t.Errorf("%q was accepted: %s", noise, got)
		}
		c.Close()
	}
	c = raw(t, s)
	io.WriteString(c, "?\x00\x00\x00\x05x")
	if got := kinds(t, c); strings.Contains(got, "Z") {
		t.Errorf("an unknown message: %s", got)
	}
}
