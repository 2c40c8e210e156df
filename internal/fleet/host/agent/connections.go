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

// caller is the client at the other end of a connection.
type caller struct {
	role      string // api.View, api.Operate or "" for none
	id        string // the certificate's name, the user's ID or the address
	certified bool   // id is the name in a certificate of the fleet's CA
	who       string // for the audit log; "" until hello. The agent's mu guards it.
}

// connectionLimits are the limits of a connection to an agent. Message, in bytes, leaves room for
// a chunk of a release.
var connectionLimits = msgpackrpc.Limits{
	Message:     2 << 20,
	Depth:       16,
	Outstanding: 64,
	Queued:      4 << 20,
	Receive:     10 * time.Second,
	Send:        10 * time.Second,
	Idle:        5 * time.Minute,
}

// Serve opens the configured listeners and answers calls until ctx ends, the agent is closed or a
// listener fails. An error means that a listener could not be opened or has failed. ready, if not
// nil, is called with the listeners' addresses once all of them are open.
func (a *Agent) Serve(ctx context.Context, ready func(addrs []net.Addr)) error {
	limit := maxConnections
	if a.config.Relay != nil {
		limit += a.config.Relay.Subscribers + len(a.config.Distribution.Relays)
	}
	server := &msgpackrpc.Server{Handler: a.handle, Limits: connectionLimits, MaxConns: limit, OnConnect: a.identifyCaller}
	listeners, err := a.openListeners()
	if err != nil {
		return err
	}
	var addrs []net.Addr
	errs := make(chan error, len(listeners))
	for _, listener := range listeners {
		addrs = append(addrs, listener.Addr())
		go func() { errs <- server.Serve(listener) }()
	}
	if ready != nil {
		ready(addrs)
	}
	left := len(listeners)
	select {
	case <-ctx.Done():
	case <-a.ctx.Done():
	case err = <-errs:
		left--
	}
	server.Close()
	for ; left > 0; left-- {
		<-errs
	}
	return err
}

// openListeners opens the configured listeners: on a Unix socket, on TCP without TLS and on TCP
// with TLS. If one of them can't be opened, it closes the others.
func (a *Agent) openListeners() (listeners []net.Listener, err error) {
	defer func() {
		if err != nil {
			for _, listener := range listeners {
				listener.Close()
			}
			listeners = nil
		}
	}()
	if path := a.config.Listen.Unix; path != "" {
		removeStaleSocket(path)
		listener, err := a.openListener("unix", path)
		if err != nil {
			return listeners, err
		}
		listeners = append(listeners, listener)
		if err := os.Chmod(path, socketMode); err != nil {
			return listeners, fmt.Errorf("agent %s: %w", a.config.Name, err)
		}
	}
	if a.config.Listen.Plain != "" {
		listener, err := a.openListener("tcp", a.config.Listen.Plain)
		if err != nil {
			return listeners, err
		}
		listeners = append(listeners, listener)
	}
	if a.config.Listen.TLS != "" {
		config, err := ServerTLS(a.config.TLS.CA, a.config.TLS.Cert, a.config.TLS.Key)
		if err != nil {
			return listeners, err
		}
		listener, err := a.openListener("tcp", a.config.Listen.TLS)
		if err != nil {
			return listeners, err
		}
		listeners = append(listeners, tls.NewListener(listener, config))
	}
	return listeners, nil
}

// socketMode lets members of the socket's group connect; identifyCaller determines their role.
const socketMode = 0o660

func (a *Agent) openListener(network, address string) (net.Listener, error) {
	listener, err := net.Listen(network, address)
	if err != nil {
		return nil, &ListenError{Agent: a.config.Name, Err: err}
	}
	return listener, nil
}

// removeStaleSocket removes the socket of an agent that was killed. The lock of the state
// folder is held, so no other agent with this configuration is running.
func removeStaleSocket(path string) {
	if st, err := os.Lstat(path); err == nil && st.Mode()&os.ModeSocket != 0 {
		os.Remove(path)
	}
}

// ServerTLS returns the server's configuration for mutual TLS from PEM files. Clients need a
// certificate that the fleet's CA has signed; the certificate's organisational unit is their role.
func ServerTLS(ca, cert, key string) (*tls.Config, error) {
	c, err := pki.LoadTLS(ca, cert, key)
	if err != nil {
		return nil, err
	}
	c.ClientCAs, c.ClientAuth = c.RootCAs, tls.RequireAndVerifyClientCert
	return c, nil
}

// identifyCaller determines the caller of a new connection and its role: from the certificate under
// TLS, from the user ID on the Unix socket, from the configuration otherwise.
func (a *Agent) identifyCaller(peer *msgpackrpc.Peer) error {
	c := &caller{role: a.config.Listen.PlainRole, id: peer.Conn.RemoteAddr().String()}
	switch conn := peer.Conn.(type) {
	case *tls.Conn:
		if err := conn.Handshake(); err != nil {
			return err
		}
		cert := conn.ConnectionState().PeerCertificates[0]
		c.id, c.role, c.certified = cert.Subject.CommonName, "", true
		for _, role := range []string{api.View, api.Operate} {
			if slices.Contains(cert.Subject.OrganizationalUnit, role) {
				c.role = role
			}
		}
	case *net.UnixConn:
		// Every user who may open the socket may view; the agent's own user and root may operate.
		uid, err := peerUID(conn)
		if err != nil {
			return err
		}
		c.id, c.role = fmt.Sprint("uid ", uid), api.View
		if uid == 0 || uid == os.Geteuid() {
			c.role = api.Operate
		}
	}
	peer.State = c
	return nil
}

// peerUID returns the user ID of the process at the other end of a Unix socket.
func peerUID(conn *net.UnixConn) (uid int, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var cred *syscall.Ucred
	if controlErr := raw.Control(func(fd uintptr) {
		cred, err = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); controlErr != nil {
		return 0, controlErr
	}
	if err != nil {
		return 0, err
	}
	return int(cred.Uid), nil
}
