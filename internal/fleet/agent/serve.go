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
	"martendrum/internal/fleet/lease"
	"martendrum/internal/fleet/neighbour"
	"martendrum/internal/fleet/pki"
	"martendrum/internal/fleet/release"
	"martendrum/internal/fleet/rollout"
	"martendrum/internal/fleet/store"
	"martendrum/internal/msgpackrpc"
)

const (
	waitMost    = 10 * time.Second // of op.status
	targetsMost = 10000            // of an operation
	logsMost    = 256 << 10        // bytes of one answer
	conns       = 128
)

// caller is who is at the other end of a connection. who is set by hello.
type caller struct {
	role, id string
	who      string
	// certified says that id is the name in a certificate of the fleet's CA.
	certified bool
}

// limits of a connection to an agent. A chunk of a release fits into a message.
var limits = msgpackrpc.Limits{Message: 2 << 20, Depth: 16, Outstanding: 64, Queued: 4 << 20, Receive: 10 * time.Second, Send: 10 * time.Second, Idle: 5 * time.Minute}

// Serve opens the configured listeners and answers until ctx ends. ready, if not
// nil, is told the addresses once all listen.
func (a *Agent) Serve(ctx context.Context, ready func(addrs []net.Addr)) error {
	most := conns
	if a.cfg.Relay != nil {
		most += a.cfg.Relay.Subscribers + len(a.cfg.Distribution.Relays)
	}
	srv := &msgpackrpc.Server{Handler: a.handle, Limits: limits, Conns: most, Welcome: a.welcome}
	var lns []net.Listener
	closeAll := func() {
		for _, ln := range lns {
			ln.Close()
		}
	}
	open := func(network, addr string) error {
		ln, err := net.Listen(network, addr)
		if err != nil {
			return fmt.Errorf("agent %s: listen: %w", a.cfg.Name, err)
		}
		lns = append(lns, ln)
		return nil
	}
	if path := a.cfg.Listen.Unix; path != "" {
		// The state folder's lock is held: a socket there is a dead agent's.
		if st, err := os.Lstat(path); err == nil && st.Mode()&os.ModeSocket != 0 {
			os.Remove(path)
		}
		if err := open("unix", path); err != nil {
			return err
		}
		if err := os.Chmod(path, 0o660); err != nil {
			closeAll()
			return fmt.Errorf("agent %s: %w", a.cfg.Name, err)
		}
	}
	if a.cfg.Listen.Plain != "" {
		if err := open("tcp", a.cfg.Listen.Plain); err != nil {
			closeAll()
			return err
		}
	}
	if a.cfg.Listen.TLS != "" {
		tc, err := ServerTLS(a.cfg.TLS.CA, a.cfg.TLS.Cert, a.cfg.TLS.Key)
		if err == nil {
			err = open("tcp", a.cfg.Listen.TLS)
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
	c := &caller{role: a.cfg.Listen.PlainRole, id: p.Conn.RemoteAddr().String()}
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
			return nil, api.Errorf(api.BadParams, "%d parameters; want one, a map", len(count))
		}
		if len(count) == 1 {
			if err := msgpack.Unmarshal(count[0], &in[0]); err != nil {
				return nil, api.Errorf(api.BadParams, "parameter of %s: %v", reflect.TypeFor[In]().Name(), err)
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
		api.Figures:      typed(api.View, (*Agent).figures),

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
		return nil, api.Errorf(api.NoMethod, "agent %s has no method %q; it speaks version %d", a.cfg.Name, r.Method, api.Version)
	case who == "" && r.Method != api.Hello:
		return nil, api.Errorf(api.NotWelcomed, "%s before %s: say which versions you speak first", r.Method, api.Hello)
	case m.role == api.Operate && c.role != api.Operate, m.role == api.View && c.role == "":
		return nil, api.Errorf(api.Forbidden, "%s needs the role %q; %s has %q at agent %s", r.Method, m.role, c.id, c.role, a.cfg.Name)
	}
	out, err := m.call(a, ctx, c, r.Params)
	if err == nil {
		return out, nil
	}
	if e, ok := errors.AsType[*api.Error](err); ok {
		return nil, e
	}
	return nil, api.Errorf(api.Internal, "agent %s: %s: %v", a.cfg.Name, r.Method, err)
}

func (a *Agent) hello(_ context.Context, c *caller, in *api.HelloIn) (any, error) {
	if in.Oldest > api.Version || in.Version < api.Oldest {
		return nil, api.Errorf(api.BadVersion, "agent %s speaks versions %d to %d and you %d to %d: use a martendrum of its age, or upgrade the agent",
			a.cfg.Name, api.Oldest, api.Version, in.Oldest, in.Version)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	c.who = fmt.Sprintf("%.100s (%s)", in.Client, c.id)
	return &api.HelloOut{Version: min(in.Version, api.Version), Agent: a.cfg.Name, Role: c.role, Started: a.started}, nil
}

func (a *Agent) list(_ context.Context, _ *caller, _ *api.Empty) (any, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := &api.ListOut{Agent: a.cfg.Name, Now: time.Now(), Unwritable: a.unwritable}
	out.Returning, out.Epoch = a.returning()
	for _, name := range a.names {
		out.Instances = append(out.Instances, a.status(a.inst[name]))
	}
	return out, nil
}

// named finds an instance; the lock is held.
func (a *Agent) named(name string) (*instance, error) {
	if i := a.inst[name]; i != nil {
		return i, nil
	}
	return nil, api.Errorf(api.NoInstance, "agent %s has no instance %q; it has %s", a.cfg.Name, name, strings.Join(a.names, ", "))
}

func (a *Agent) inspect(_ context.Context, _ *caller, in *api.InstanceIn) (any, error) {
	a.mu.Lock()
	i, err := a.named(in.Instance)
	if err != nil {
		a.mu.Unlock()
		return nil, err
	}
	out := &api.InspectOut{Instance: a.status(i), Settings: a.instanceSettings(i)}
	for _, s := range a.steps {
		if s.Instance == in.Instance {
			out.Steps = append(out.Steps, *s)
		}
	}
	a.mu.Unlock()
	slices.SortFunc(out.Steps, func(x, y api.Step) int { return y.Started.Compare(x.Started) })
	out.Steps = out.Steps[:min(20, len(out.Steps))]
	if b, err := os.ReadFile(a.configPath(in.Instance)); err == nil {
		out.Config = string(b[:min(len(b), logsMost)])
	}
	b, _, err := readTail(a.logPath(in.Instance), -4096, 4096)
	out.Log = string(b)
	return out, err
}

func (a *Agent) logs(_ context.Context, _ *caller, in *api.LogsIn) (any, error) {
	a.mu.Lock()
	_, err := a.named(in.Instance)
	a.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if in.Most <= 0 || in.Most > logsMost {
		in.Most = logsMost
	}
	b, next, err := readTail(a.logPath(in.Instance), max(in.Offset, -logsMost), in.Most)
	return &api.LogsOut{Data: b, Next: next}, err
}

func (a *Agent) audit(ctx context.Context, _ *caller, in *api.AuditIn) (any, error) {
	es, err := a.store.Audit(ctx, max(1, min(in.Most, 1000)))
	return &api.AuditOut{Entries: es}, err
}

func (a *Agent) releaseStat(_ context.Context, _ *caller, in *api.ReleaseIn) (any, error) {
	if !release.Valid(in.Release) {
		return nil, api.Errorf(api.BadParams, "%q is no release's hash", in.Release)
	}
	out := &api.ReleaseOut{}
	out.Have, out.Sidecar, out.Overlay = a.releases.Have(in.Release)
	return out, nil
}

func (a *Agent) releaseWrite(ctx context.Context, c *caller, in *api.ChunkIn) (any, error) {
	if err := a.releases.Write(in.Release, in.File, in.Offset, in.Data); err != nil {
		return nil, api.Errorf(api.BadRelease, "agent %s: %v", a.cfg.Name, err)
	}
	return a.releaseStat(ctx, c, &api.ReleaseIn{Release: in.Release})
}

func (a *Agent) releaseDone(ctx context.Context, c *caller, in *api.ReleaseIn) (any, error) {
	if err := a.releases.Done(in.Release); err != nil {
		return nil, api.Errorf(api.BadRelease, "agent %s: %v", a.cfg.Name, err)
	}
	return a.releaseStat(ctx, c, in)
}

// readMost is how much of a release's file one answer holds.
const readMost = 1 << 20

func (a *Agent) releaseRead(_ context.Context, _ *caller, in *api.ReadIn) (any, error) {
	if !release.Valid(in.Release) || in.File != release.Sidecar && in.File != release.Overlay || in.Offset < 0 {
		return nil, api.Errorf(api.BadParams, "%q of release %q from %d: no such piece", in.File, in.Release, in.Offset)
	}
	f, err := os.Open(a.releases.Path(in.Release, in.File))
	if err != nil {
		return nil, api.Errorf(api.NoRelease, "agent %s: %v", a.cfg.Name, err)
	}
	defer f.Close()
	st, err := f.Stat()
	if err != nil {
		return nil, err
	}
	buf := make([]byte, max(0, min(readMost, st.Size()-in.Offset)))
	n, err := f.ReadAt(buf, in.Offset)
	if n < len(buf) && err != nil {
		return nil, err
	}
	return &api.ReadOut{Data: buf[:n], Size: st.Size()}, nil
}

// own is the operation's instances here.
func (a *Agent) own(o *api.Operation) (out []string, err error) {
	for _, t := range o.Targets {
		if t.Host == a.cfg.Name {
			if _, err := a.named(t.Instance); err != nil {
				return nil, err
			}
			out = append(out, t.Instance)
		}
	}
	if len(out) == 0 {
		return nil, api.Errorf(api.BadParams, "operation %s has no instance at agent %s", o.ID, a.cfg.Name)
	}
	return out, nil
}

func (a *Agent) opOpen(_ context.Context, c *caller, in *api.OpenIn) (any, error) {
	o := &in.Operation
	switch {
	case o.ID == "" || len(o.ID) > 64 || in.Holder == "" || len(in.Holder) > 200:
		return nil, api.Errorf(api.BadParams, "operation and holder need names")
	case !slices.Contains([]string{api.ActStart, api.ActStop, api.ActDrain, api.ActUndrain, api.ActRestart, api.ActReload, api.ActUpgrade, api.ActRollback, api.ActSettings}, o.Action):
		return nil, api.Errorf(api.BadParams, "unknown action %q", o.Action)
	case len(o.Targets) > targetsMost:
		return nil, api.Errorf(api.BadParams, "%d targets; %d at most", len(o.Targets), targetsMost)
	case o.Ready <= 0 || o.Soak < 0 || o.Ready > time.Hour || o.Soak > time.Hour:
		return nil, api.Errorf(api.BadParams, "ready %v, soak %v; want above 0, 0 or more, and an hour at most", o.Ready, o.Soak)
	}
	if err := rollout.Check(o.Policy, len(o.Targets)); err != nil {
		return nil, api.Errorf(api.BadParams, "%v", err)
	}
	if s := o.Staged; s != nil {
		if err := errors.Join(s.Plan.Check(len(o.Targets)), s.Judge.Check()); err != nil {
			return nil, api.Errorf(api.BadParams, "%v", err)
		}
		if slot := time.Duration(a.cfg.Figures.Slot); s.Judge.Slot != slot {
			return nil, api.Errorf(api.BadParams, "agent %s takes figures each %v and operation %s is judged each %v: set figures.slot alike at all hosts", a.cfg.Name, slot, o.ID, s.Judge.Slot)
		}
	}
	if len(o.Places) != 0 && len(o.Places) != len(o.Targets) {
		return nil, api.Errorf(api.BadParams, "%d places of %d targets", len(o.Places), len(o.Targets))
	}
	if o.Action == api.ActUpgrade || o.Action == api.ActSettings {
		if err := a.releases.Verify(o.Release); err != nil {
			return nil, api.Errorf(api.NoRelease, "agent %s: %v", a.cfg.Name, err)
		}
	}
	if o.Staged != nil {
		if err := a.neighbours(o); err != nil {
			return nil, err
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if how, _ := a.returning(); how != "" {
		e := &api.ReturningError{Host: a.cfg.Name, How: how}
		return nil, api.Errorf(api.Held, "%v: %s", e, e.Advice())
	}
	have := a.ops[o.ID]
	if have != nil {
		if have.State != api.OpOpened {
			return nil, api.Errorf(api.Closed, "operation %s is %s at agent %s: %s", o.ID, have.State, a.cfg.Name, have.Result)
		}
		o = &have.Operation // the record's word counts
	}
	names, err := a.own(o)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	ls, err := a.leases.Acquire(now, o.ID, in.Holder, names, in.TTL, func(name string) string {
		for _, x := range a.ops {
			if x.ID != o.ID && x.State != api.OpClosed && a.targets(&x.Operation, name) {
				return fmt.Sprintf("operation %s (%s by %s) is %s on it; `martendrum resume %s` or `martendrum abort %s` first", x.ID, x.Action, x.Operator, x.State, x.ID, x.ID)
			}
		}
		return ""
	})
	if lost, ok := errors.AsType[*lease.LostError](err); ok {
		return nil, api.Errorf(api.Held, "agent %s: %v: %s", a.cfg.Name, lost, lost.Advice())
	}
	if held, ok := errors.AsType[*lease.HeldError](err); ok {
		return nil, api.Errorf(api.Held, "agent %s: %v", a.cfg.Name, held)
	}
	if err != nil {
		return nil, api.Errorf(api.BadParams, "%v", err)
	}
	next := store.Operation{Operation: *o, State: api.OpOpened}
	if err := a.commit(&store.Change{
		Operations: []store.Operation{next}, Leases: ls,
		Audit: []api.AuditEntry{{At: now, Who: c.who, What: "op.open " + o.Action, Target: o.ID, Result: fmt.Sprintf("token %d for %s", ls[0].Token, in.Holder)}},
	}); err != nil {
		return nil, err
	}
	if have == nil {
		a.ops[o.ID] = &next
	}
	a.leases.Put(ls)
	return &api.OpenOut{Token: ls[0].Token, Expires: ls[0].Expires}, nil
}

// neighbours says whether old and new programs may run side by side here.
func (a *Agent) neighbours(o *api.Operation) error {
	a.mu.Lock()
	_, known := a.ops[o.ID]
	uses := make(map[string]neighbour.Use) // by the release that runs
	for _, t := range o.Targets {
		if i := a.inst[t.Instance]; t.Host == a.cfg.Name && i != nil && i.row.Release != o.Release {
			u := uses[i.row.Release]
			u.HandOver, u.Back = a.cfg.Sidecar.HandOver && o.Action == api.ActUpgrade, o.Policy.OnFailure == rollout.Back || o.Policy.OnFailure == rollout.BackStage
			u.Record = u.Record || i.cfg.Record != ""
			uses[i.row.Release] = u
		}
	}
	a.mu.Unlock()
	if known {
		return nil // it was asked when it began
	}
	for before, use := range uses {
		old := neighbour.Ask(a.ctx, a.releases.Path(before, release.Sidecar))
		now := neighbour.Ask(a.ctx, a.releases.Path(o.Release, release.Sidecar))
		if err := neighbour.Check(old, now, use); err != nil {
			return api.Errorf(api.BadRelease, "agent %s: release %.12s may not run beside %.12s: %v", a.cfg.Name, o.Release, before, err)
		}
	}
	return nil
}

// op finds an operation; the lock is held.
func (a *Agent) op(id string) (*store.Operation, error) {
	if o := a.ops[id]; o != nil {
		return o, nil
	}
	return nil, api.Errorf(api.NoOperation, "agent %s knows no operation %q", a.cfg.Name, id)
}

// fenced makes an API error of a lease's.
func (a *Agent) fenced(err error) error {
	if err == nil {
		return nil
	}
	return api.Errorf(api.Fenced, "agent %s: %v", a.cfg.Name, err)
}

func (a *Agent) opClose(_ context.Context, c *caller, in *api.CloseIn) (any, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o, err := a.op(in.Op)
	if err != nil {
		return nil, err
	}
	if o.State == api.OpClosed {
		return a.opOut(o), nil
	}
	names, err := a.own(&o.Operation)
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		if err := a.fenced(a.leases.Check(time.Now(), o.ID, in.Token, name)); err != nil {
			return nil, err
		}
	}
	if a.busy(o.ID) {
		return nil, api.Errorf(api.Held, "a step of operation %s is under way at agent %s", o.ID, a.cfg.Name)
	}
	if err := a.closeOp(o, in.Result, c.who); err != nil {
		return nil, err
	}
	return a.opOut(o), nil
}

// opAbort needs no lease: it only ever stops things.
func (a *Agent) opAbort(_ context.Context, c *caller, in *api.AbortIn) (any, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o, err := a.op(in.Op)
	if err != nil {
		return nil, err
	}
	if o.State == api.OpOpened {
		next := *o
		next.State = api.OpAborting
		if err := a.commit(&store.Change{Operations: []store.Operation{next},
			Audit: []api.AuditEntry{{At: time.Now(), Who: c.who, What: "op.abort", Target: o.ID, Result: "ok"}}}); err != nil {
			return nil, err
		}
		*o = next
	}
	a.endAborted()
	return a.opOut(o), nil
}

func (a *Agent) opOut(o *store.Operation) *api.OpOut {
	now := time.Now()
	out := &api.OpOut{Operation: o.Operation, State: o.State, Result: o.Result, Change: a.change, Now: now}
	for _, l := range a.leases.ByInstance {
		if l.Op == o.ID && l.Live(now) {
			out.Holder, out.Expires = l.Holder, l.Expires
		}
	}
	for _, name := range a.names {
		if a.targets(&o.Operation, name) {
			out.Instances = append(out.Instances, a.status(a.inst[name]))
		}
	}
	for k, s := range a.steps {
		if k.op == o.ID {
			out.Steps = append(out.Steps, *s)
		}
	}
	slices.SortFunc(out.Steps, func(x, y api.Step) int { return x.Started.Compare(y.Started) })
	return out
}

func (a *Agent) opList(_ context.Context, _ *caller, _ *api.Empty) (any, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := &api.OpsOut{}
	for _, o := range a.ops {
		x := a.opOut(o)
		x.Instances = nil
		x.Operation.Targets = nil
		out.Ops = append(out.Ops, *x)
	}
	return out, nil
}

func (a *Agent) opStatus(ctx context.Context, _ *caller, in *api.StatusIn) (any, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o, err := a.op(in.Op)
	if err != nil {
		return nil, err
	}
	if in.Token != 0 && o.State != api.OpClosed {
		if err := a.renew(o, in); err != nil {
			return nil, err
		}
	}
	timer := time.NewTimer(min(in.Wait, waitMost))
	defer timer.Stop()
	for in.Wait > 0 && a.change <= in.After {
		changed := a.changed
		a.mu.Unlock()
		more := true
		select {
		case <-changed:
		case <-timer.C:
			more = false
		case <-ctx.Done():
			more = false
		case <-a.ctx.Done():
			more = false
		}
		a.mu.Lock()
		if !more {
			break
		}
	}
	return a.opOut(o), nil
}

// renew lengthens the caller's leases, and writes that only once a third of their
// time has gone.
func (a *Agent) renew(o *store.Operation, in *api.StatusIn) error {
	names, err := a.own(&o.Operation)
	if err != nil {
		return err
	}
	now := time.Now()
	ls, err := a.leases.Renew(now, o.ID, in.Token, names, in.TTL)
	if _, ok := errors.AsType[*lease.FencedError](err); ok {
		return a.fenced(err)
	}
	if err != nil {
		return api.Errorf(api.BadParams, "%v", err)
	}
	if a.leases.ByInstance[names[0]].Expires.Sub(now) > in.TTL*2/3 {
		return nil
	}
	if err := a.commit(&store.Change{Leases: ls}); err != nil {
		return err
	}
	a.leases.Put(ls)
	return nil
}
