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

// maxStart bounds a connection's start-up.
const maxStart = 10 * time.Second

func (s *Server) serve(nc net.Conn) {
	raw := nc
	defer func() { nc.Close() }()
	nc.SetDeadline(time.Now().Add(maxStart))
	nc, b, start := s.receiveStartup(nc)
	if start == nil {
		return
	}
	c := &session{srv: s, raw: raw, nc: nc, backend: b, types: pgtype.NewMap(), eventCount: s.conns.Add(1), statements: make(map[string]*statement), portals: make(map[string]*portal)}
	var key [8]byte
	rand.Read(key[:])
	c.pid, c.secret = uint32(c.eventCount), key[:4]
	fatal := func(code, text string) {
		b.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: code, Message: text})
		b.Flush()
	}
	if refusal := s.register(c); refusal != nil {
		fatal(refusal.code, refusal.text)
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
	ctx, cancel := context.WithTimeout(context.Background(), maxStart)
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
	if c.sendReady() != nil {
		return
	}
	nc.SetDeadline(time.Time{})
	c.run()
}

// receiveStartup answers requests for encryption until the client begins a session. It returns
// the connection, encrypted if that was agreed, with its backend; start is nil if the connection
// is over, as after a request to cancel a statement.
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
			tc := tls.Server(nc, s.cfg.TLS)
			if tc.Handshake() != nil {
				return nc, b, nil
			}
			nc = tc
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

// register adds a session to the open ones, or returns the failure that its client gets instead.
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

// sendReady sends the messages that end a session's start-up.
func (c *session) sendReady() error {
	for name, value := range map[string]string{"server_version": "17.0 (stand-in)", "client_encoding": "UTF8", "standard_conforming_strings": "on",
		"integer_datetimes": "on", "DateStyle": "ISO, MDY", "TimeZone": "UTC"} {
		c.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	c.backend.Send(&pgproto3.NoticeResponse{Severity: "NOTICE", SeverityUnlocalized: "NOTICE", Code: "00000", Message: "this is a stand-in"})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return c.backend.Flush()
}

// authenticate makes the SASL exchange of SCRAM-SHA-256, or lets the user in.
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
		talk := s.scram.NewConversation()
		say, err := talk.Step(string(first.Data))
		if err != nil {
			return err
		}
		b.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(say)})
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
		if say, err = talk.Step(string(last.Data)); err != nil || !talk.Valid() {
			return errors.New("pgserver: wrong password")
		}
		b.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(say)})
	}
	b.Send(&pgproto3.AuthenticationOk{})
	return nil
}
