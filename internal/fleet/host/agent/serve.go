package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/vmihailenco/msgpack/v5"

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

// method is one of the API's.
type method struct {
	role string
	call func(a *Agent, ctx context.Context, c *caller, params msgpack.RawMessage) (any, error)
}

// typed makes a method of a function of its parameter.
func typed[In any](role string, f func(a *Agent, ctx context.Context, c *caller, in *In) (any, error)) method {
	return method{role, func(a *Agent, ctx context.Context, c *caller, params msgpack.RawMessage) (any, error) {
		var in [1]In
		var count []msgpack.RawMessage
		if err := msgpack.Unmarshal(params, &count); err != nil || len(count) > 1 {
			return nil, api.Errorf(api.InvalidParams, "%d parameters; want one, a map", len(count))
		}
		if len(count) == 1 {
			if err := msgpack.Unmarshal(count[0], &in[0]); err != nil {
				return nil, api.Errorf(api.InvalidParams, "parameter of %s: %v", reflect.TypeFor[In]().Name(), err)
			}
		}
		return f(a, ctx, c, &in[0])
	}}
}

var methods map[string]method

func init() {
	methods = map[string]method{
		api.Hello:        typed("", (*Agent).hello),
		api.List:         typed(api.View, (*Agent).list),
		api.Inspect:      typed(api.View, (*Agent).inspect),
		api.Logs:         typed(api.View, (*Agent).logs),
		api.Audit:        typed(api.View, (*Agent).audit),
		api.OpStatus:     typed(api.View, (*Agent).opStatus),
		api.OpList:       typed(api.View, (*Agent).opList),
		api.ReleaseStat:  typed(api.View, (*Agent).releaseStat),
		api.ReleaseWrite: typed(api.Operate, (*Agent).releaseWrite),
		api.ReleaseDone:  typed(api.Operate, (*Agent).releaseDone),
		api.ReleaseRead:  typed(api.Operate, (*Agent).releaseRead),
		api.OpOpen:       typed(api.Operate, (*Agent).opOpen),
		api.OpClose:      typed(api.Operate, (*Agent).opClose),
		api.OpAbort:      typed(api.Operate, (*Agent).opAbort),
		api.StepStart:    typed(api.Operate, (*Agent).stepStart),
		api.OpNote:       typed(api.Operate, (*Agent).opNote),
		api.Metrics:      typed(api.View, (*Agent).metrics),

		api.SettingsPut:     typed(api.Operate, (*Agent).settingsPut),
		api.SettingsPromote: typed(api.Operate, (*Agent).settingsPromote),
		api.SettingsGet:     typed(api.View, (*Agent).settingsGet),
		api.SettingsStatus:  typed(api.View, (*Agent).settingsStatus),
		// Those of hosts and relays, which have no role: each checks who asks.
		api.SettingsWatch:   typed("", (*Agent).settingsWatch),
		api.SettingsAck:     typed("", (*Agent).settingsAck),
		api.SettingsFollow:  typed("", (*Agent).settingsFollow),
		api.SettingsReport:  typed("", (*Agent).settingsReport),
		api.SettingsWriting: typed("", (*Agent).settingsWriting),
	}
}

func (a *Agent) handle(ctx context.Context, r *msgpackrpc.Request) (any, error) {
	c := r.Peer.State.(*caller)
	m, ok := methods[r.Method]
	a.mu.Lock()
	who := c.who
	a.mu.Unlock()
	switch {
	case r.Notify:
		return nil, nil // nothing here is told by notification
	case !ok:
		return nil, api.Errorf(api.NoMethod, "agent %s has no method %q; it speaks version %d", a.config.Name, r.Method, api.Version)
	case who == "" && r.Method != api.Hello:
		return nil, api.Errorf(api.NotWelcomed, "%s before %s: say which versions you speak first", r.Method, api.Hello)
	case m.role == api.Operate && c.role != api.Operate, m.role == api.View && c.role == "":
		return nil, api.Errorf(api.Forbidden, "%s needs the role %q; %s has %q at agent %s", r.Method, m.role, c.id, c.role, a.config.Name)
	}
	out, err := m.call(a, ctx, c, r.Params)
	if err == nil {
		return out, nil
	}
	if e, ok := errors.AsType[*api.Error](err); ok {
		return nil, e
	}
	return nil, api.Errorf(api.Internal, "agent %s: %s: %v", a.config.Name, r.Method, err)
}

func (a *Agent) hello(_ context.Context, c *caller, in *api.HelloIn) (any, error) {
	if in.Oldest > api.Version || in.Version < api.Oldest {
		return nil, api.Errorf(api.UnsupportedVersion, "agent %s speaks versions %d to %d and you %d to %d: use a martendrum of its age, or upgrade the agent",
			a.config.Name, api.Oldest, api.Version, in.Oldest, in.Version)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	c.who = fmt.Sprintf("%.100s (%s)", in.Client, c.id)
	return &api.HelloOut{Version: min(in.Version, api.Version), Agent: a.config.Name, Role: c.role, Started: a.started}, nil
}

func (a *Agent) list(_ context.Context, _ *caller, _ *api.Empty) (any, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := &api.ListOut{Agent: a.config.Name, Now: time.Now(), Unwritable: a.unwritable}
	out.Returning, out.Epoch = a.returnProgress()
	for _, name := range a.instanceNames {
		out.Instances = append(out.Instances, a.instanceStatus(a.instances[name]))
	}
	return out, nil
}

// findInstance finds an instance; the lock is held.
func (a *Agent) findInstance(name string) (*instance, error) {
	if i := a.instances[name]; i != nil {
		return i, nil
	}
	return nil, api.Errorf(api.NoInstance, "agent %s has no instance %q; it has %s", a.config.Name, name, strings.Join(a.instanceNames, ", "))
}

func (a *Agent) inspect(_ context.Context, _ *caller, in *api.InstanceIn) (any, error) {
	a.mu.Lock()
	i, err := a.findInstance(in.Instance)
	if err != nil {
		a.mu.Unlock()
		return nil, err
	}
	out := &api.InspectOut{Instance: a.instanceStatus(i), Settings: a.instanceSettings(i)}
	for _, s := range a.steps {
		if s.Instance == in.Instance {
			out.Steps = append(out.Steps, *s)
		}
	}
	a.mu.Unlock()
	slices.SortFunc(out.Steps, func(x, y api.Step) int { return y.Started.Compare(x.Started) })
	out.Steps = out.Steps[:min(20, len(out.Steps))]
	if b, err := os.ReadFile(a.configPath(in.Instance)); err == nil {
		out.Config = string(b[:min(len(b), maxLogs)])
	}
	b, _, err := readTail(a.logPath(in.Instance), -4096, 4096)
	out.Log = string(b)
	return out, err
}

func (a *Agent) logs(_ context.Context, _ *caller, in *api.LogsIn) (any, error) {
	a.mu.Lock()
	_, err := a.findInstance(in.Instance)
	a.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if in.Limit <= 0 || in.Limit > maxLogs {
		in.Limit = maxLogs
	}
	b, next, err := readTail(a.logPath(in.Instance), max(in.Offset, -maxLogs), in.Limit)
	return &api.LogsOut{Data: b, Next: next}, err
}

func (a *Agent) audit(ctx context.Context, _ *caller, in *api.AuditIn) (any, error) {
	es, err := a.store.Audit(ctx, max(1, min(in.Limit, 1000)))
	return &api.AuditOut{Entries: es}, err
}
