package agent

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/pki"
	"martendrum/internal/msgpackrpc"
)

// caller is who is at the other end of a connection. who is set by hello.
type caller struct {
	role, id string
	who      string
	// certified says that id is the name in a certificate of the fleet's CA.
	certified bool
}

// connectionLimits of a connection to an agent. A chunk of a release fits into a message.
var connectionLimits = msgpackrpc.Limits{Message: 2 << 20, Depth: 16, Outstanding: 64, Queued: 4 << 20, Receive: 10 * time.Second, Send: 10 * time.Second, Idle: 5 * time.Minute}

// Serve opens the configured listeners and answers until ctx ends. ready, if not
// nil, is told the addresses once all listen.
func (a *Agent) Serve(ctx context.Context, ready func(addrs []net.Addr)) error {
	limit := maxConnections
	if a.config.Relay != nil {
		limit += a.config.Relay.Subscribers + len(a.config.Distribution.Relays)
	}
	srv := &msgpackrpc.Server{Handler: a.handle, Limits: connectionLimits, Conns: limit, Welcome: a.welcome}
	var lns []net.Listener
	closeAll := func() {
		for _, ln := range lns {
			ln.Close()
		}
	}
	open := func(network, addr string) error {
		ln, err := net.Listen(network, addr)
		if err != nil {
			return fmt.Errorf("agent %s: listen: %w", a.config.Name, err)
		}
		lns = append(lns, ln)
		return nil
	}
	if path := a.config.Listen.Unix; path != "" {
		// The state folder's lock is held: a socket there is a dead agent's.
		if st, err := os.Lstat(path); err == nil && st.Mode()&os.ModeSocket != 0 {
			os.Remove(path)
		}
		if err := open("unix", path); err != nil {
			return err
		}
		if err := os.Chmod(path, 0o660); err != nil {
			closeAll()
			return fmt.Errorf("agent %s: %w", a.config.Name, err)
		}
	}
	if a.config.Listen.Plain != "" {
		if err := open("tcp", a.config.Listen.Plain); err != nil {
			closeAll()
			return err
		}
	}
	if a.config.Listen.TLS != "" {
		tc, err := ServerTLS(a.config.TLS.CA, a.config.TLS.Cert, a.config.TLS.Key)
		if err == nil {
			err = open("tcp", a.config.Listen.TLS)
		}
		if err != nil {
			closeAll()
			return err
		}
		lns[len(lns)-1] = tls.NewListener(lns[len(lns)-1], tc)
	}
	var addrs []net.Addr
	errs := make(chan error, len(lns))
	for _, ln := range lns {
		addrs = append(addrs, ln.Addr())
		go func() { errs <- srv.Serve(ln) }()
	}
	if ready != nil {
		ready(addrs)
	}
	var err error
	left := len(lns)
	select {
	case <-ctx.Done():
	case <-a.ctx.Done():
	case err = <-errs:
		left--
	}
	srv.Close()
	for ; left > 0; left-- {
		<-errs
	}
	return err
}

// ServerTLS is the agent's side of mutual TLS: callers need a certificate of the
// fleet's CA, whose organisational unit is their role.
func ServerTLS(ca, cert, key string) (*tls.Config, error) {
	c, err := pki.TLS(ca, cert, key)
	if err != nil {
		return nil, err
	}
	c.ClientCAs, c.ClientAuth = c.RootCAs, tls.RequireAndVerifyClientCert
	return c, nil
}

// welcome finds out the role of a connection.
func (a *Agent) welcome(p *msgpackrpc.Peer) error {
	c := &caller{role: a.config.Listen.PlainRole, id: p.Conn.RemoteAddr().String()}
	switch nc := p.Conn.(type) {
	case *tls.Conn:
		if err := nc.Handshake(); err != nil {
			return err
		}
		cert := nc.ConnectionState().PeerCertificates[0]
		c.id, c.role, c.certified = cert.Subject.CommonName, "", true
		for _, role := range []string{api.View, api.Operate} {
			if slices.Contains(cert.Subject.OrganizationalUnit, role) {
				c.role = role
			}
		}
	case *net.UnixConn:
		// Whoever may open the socket may look; the agent's own user and root operate.
		uid, err := peerUID(nc)
		if err != nil {
			return err
		}
		c.id, c.role = fmt.Sprint("uid ", uid), api.View
		if uid == 0 || uid == os.Geteuid() {
			c.role = api.Operate
		}
	}
	p.State = c
	return nil
}

func peerUID(nc *net.UnixConn) (uid int, err error) {
	raw, err := nc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var cred *syscall.Ucred
	if e := raw.Control(func(fd uintptr) {
		cred, err = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); e != nil {
		return 0, e
	}
	if err != nil {
		return 0, err
	}
	return int(cred.Uid), nil
}
