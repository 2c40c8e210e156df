package pgserver

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// startupTimeout bounds a connection's start-up, and the rollback at its end.
const startupTimeout = 10 * time.Second

// serve handles a connection, from its start-up to its end, and closes it.
func (s *Server) serve(nc net.Conn) {
	raw := nc
	defer func() { nc.Close() }()
	nc.SetDeadline(time.Now().Add(startupTimeout))
	nc, b, start := s.receiveStartup(nc)
	if start == nil {
		return
	}
	c := &session{srv: s, raw: raw, nc: nc, backend: b, types: pgtype.NewMap(), number: s.conns.Add(1), statements: make(map[string]*statement), portals: make(map[string]*portal)}
	var key [8]byte
	rand.Read(key[:])
	c.pid, c.secret = uint32(c.number), key[:4]
	fatal := func(code, text string) {
		b.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: code, Message: text})
		b.Flush()
	}
	if rejection := s.register(c); rejection != nil {
		fatal(rejection.code, rejection.text)
		return
	}
	defer func() {
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
	}()
	if err := s.authenticate(b, start); err != nil {
		fatal("28P01", fmt.Sprintf("password authentication failed for user %q", start.Parameters["user"]))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), startupTimeout)
	conn, err := s.db.Conn(ctx)
	cancel()
	if err != nil {
		fatal("58000", err.Error())
		return
	}
	defer conn.Close()
	c.db = conn
	if c.timeout, err = parseTimeout(start.Parameters["statement_timeout"]); err != nil {
		fatal("22023", err.Error())
		return
	}
	if c.finishStartup() != nil {
		return
	}
	nc.SetDeadline(time.Time{})
	c.run()
}

// receiveStartup answers requests for encryption until the client sends its start-up message. It returns
// the connection, encrypted if that was negotiated, with its backend. start is nil if the
// connection is to be closed, as after a cancel request.
func (s *Server) receiveStartup(nc net.Conn) (conn net.Conn, b *pgproto3.Backend, start *pgproto3.StartupMessage) {
	b = pgproto3.NewBackend(nc, nc)
	for {
		m, err := b.ReceiveStartupMessage()
		if err != nil {
			return nc, b, nil
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest:
			if s.cfg.TLS == nil {
				nc.Write([]byte("N"))
				continue
			}
			nc.Write([]byte("S"))
			tlsConn := tls.Server(nc, s.cfg.TLS)
			if tlsConn.Handshake() != nil {
				return nc, b, nil
			}
			nc = tlsConn
			b = pgproto3.NewBackend(nc, nc)
		case *pgproto3.GSSEncRequest:
			nc.Write([]byte("N"))
		case *pgproto3.CancelRequest:
			s.cancel(m)
			return nc, b, nil
		case *pgproto3.StartupMessage:
			return nc, b, m
		}
	}
}

// register adds a session to the open ones, or returns the failure to send to the client if the server
// accepts no further session.
func (s *Server) register(c *session) *failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.rejecting:
		return &failure{"57P03", "the database system is starting up"}
	case len(s.open) >= s.cfg.MaxConns:
		return &failure{"53300", "sorry, too many clients already"}
	}
	s.open[c] = struct{}{}
	return nil
}

// finishStartup sends the messages at the end of a session's start-up, the last of which is
// ReadyForQuery.
func (c *session) finishStartup() error {
	for name, value := range map[string]string{"server_version": "17.0 (stand-in)", "client_encoding": "UTF8", "standard_conforming_strings": "on",
		"integer_datetimes": "on", "DateStyle": "ISO, MDY", "TimeZone": "UTC"} {
		c.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	c.backend.Send(&pgproto3.NoticeResponse{Severity: "NOTICE", SeverityUnlocalized: "NOTICE", Code: "00000", Message: "this is a stand-in"})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return c.backend.Flush()
}

// authenticate checks the user name and, if the server has a password, authenticates the client with
// SCRAM-SHA-256. The caller reports an error to the client.
func (s *Server) authenticate(b *pgproto3.Backend, start *pgproto3.StartupMessage) error {
	if start.Parameters["user"] != s.cfg.User {
		return errors.New("no such user")
	}
	if s.scram != nil {
		b.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{"SCRAM-SHA-256"}})
		if err := b.Flush(); err != nil {
			return err
		}
		b.SetAuthType(pgproto3.AuthTypeSASL)
		m, err := b.Receive()
		if err != nil {
			return err
		}
		first, ok := m.(*pgproto3.SASLInitialResponse)
		if !ok || first.AuthMechanism != "SCRAM-SHA-256" {
			return errors.New("no SASL response")
		}
		conversation := s.scram.NewConversation()
		reply, err := conversation.Step(string(first.Data))
		if err != nil {
			return err
		}
		b.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(reply)})
		if err := b.Flush(); err != nil {
			return err
		}
		b.SetAuthType(pgproto3.AuthTypeSASLContinue)
		if m, err = b.Receive(); err != nil {
			return err
		}
		last, ok := m.(*pgproto3.SASLResponse)
		if !ok {
			return errors.New("no SASL response")
		}
		if reply, err = conversation.Step(string(last.Data)); err != nil || !conversation.Valid() {
			return errors.New("pgserver: wrong password")
		}
		b.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(reply)})
	}
	b.Send(&pgproto3.AuthenticationOk{})
	return nil
}
