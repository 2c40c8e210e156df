package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/inventory"
	"martendrum/internal/fleet/control/rollout"
	"martendrum/internal/fleet/host/proc"
	"martendrum/internal/standin/faultnet"
	"martendrum/internal/standin/shop"
)

// plant is a fleet whose sidecars tell each other over a mesh, before servers that start
// cold.
type plant struct {
	*world
	ramp *shop.SlowStart
	mesh *faultnet.Mesh
	rank map[string]int
}

// The scenarios' size and speed; larger by the environment, for the design note.
func sized(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}

func newPlant(t *testing.T, hosts, each int, parts string) *plant {
	t.Helper()
	return newSlowPlant(t, hosts, each, parts, 100*time.Millisecond)
}

// newSlowPlant has so long between the waves of a return.
func newSlowPlant(t *testing.T, hosts, each int, parts string, wave time.Duration) *plant {
	t.Helper()
	p := &plant{rank: make(map[string]int), ramp: &shop.SlowStart{
		Workers: 4, Work: 40 * time.Millisecond, Queue: 20, From: 0.14, For: 6 * time.Second, Factor: 4, Window: time.Second,
	}}
	servers := max(4, hosts*each/5)
	p.world = newWorldBefore(t, hosts, each, fmt.Sprintf("fleet = %q\n[recovery]\nwave_least = %q\n", parts, wave), func() (*shop.Shop, error) {
		return shop.NewWith(servers, p.ramp.Serve)
	})
	var homes, names []string
	for _, h := range p.hosts {
		for _, name := range h.insts {
			host, _, err := net.SplitHostPort(h.listen[name])
			if err != nil {
				t.Fatal(err)
			}
			c, err := net.ListenPacket("udp4", host+":0") // the instance's own address
			if err != nil {
				t.Fatal(err)
			}
			c.Close()
			p.rank[name] = len(names)
			homes, names = append(homes, c.LocalAddr().String()), append(names, name)
		}
	}
	net := faultnet.New(1)
	t.Cleanup(net.Close)
	var err error
	if p.mesh, err = net.Mesh(homes); err != nil {
		t.Fatal(err)
	}
	for n, name := range names {
		p.edit(name, func(c map[string]any) {
			set := c["settings"].(map[string]any)
			set["rank"], set["replicasOfMe"] = n, len(names)
			set["caps"].(map[string]any)["peers"] = true
			set["guarantees"] = map[string]any{
				"drainGraceUs": 2000000, "coldFrom": p.ramp.From, "coldUs": p.ramp.For.Microseconds(),
				"overloadFactor": p.ramp.Factor, "overloadForUs": p.ramp.Window.Microseconds(),
			}
			c["peer_listen"], c["peers"] = homes[n], p.mesh.Addrs()
		})
	}
	return p
}

func (p *plant) hostOf(name string) *host {
	for _, h := range p.hosts {
		if h.listen[name] != "" {
			return h
		}
	}
	p.t.Fatal("no host of " + name)
	return nil
}

// edit changes an instance's configuration.
func (p *plant) edit(name string, change func(map[string]any)) {
	p.t.Helper()
	path := filepath.Join(filepath.Dir(p.hostOf(name).config), name+".json")
	data, err := os.ReadFile(path)
	c := make(map[string]any)
	if err == nil {
		err = json.Unmarshal(data, &c)
	}
	if err == nil {
		change(c)
		data, err = json.Marshal(c)
	}
	if err == nil {
		err = os.WriteFile(path, data, 0o600)
	}
	if err != nil {
		p.t.Fatal(err)
	}
}

// off ends every process of hosts at one moment, as a loss of power does. v, if not nil,
// is told before and after: what was under way then is nobody's fault.
func (p *plant) off(v *visits, hosts ...*host) {
	if v != nil {
		v.killed(hosts...)
		defer v.killed(hosts...)
	}
	for _, h := range hosts {
		h.signal(syscall.SIGKILL) // first: it would start them again
	}
	for _, h := range hosts {
		for _, f := range proc.Find(h.name + "/") {
			syscall.Kill(f.PID, syscall.SIGKILL)
		}
		h.kill()
	}
	for _, h := range hosts { // one may have been started in between
		eventually(p.t, "the end of a host's processes", func() bool {
			for _, f := range proc.Find(h.name + "/") {
				syscall.Kill(f.PID, syscall.SIGKILL)
			}
			return len(proc.Find(h.name+"/")) == 0
		})
	}
}

// on starts hosts in a drawn order.
func (p *plant) on(rng *rand.Rand, hosts ...*host) {
	for _, i := range rng.Perm(len(hosts)) {
		hosts[i].start()
	}
}

// began is what each sidecar that is careful after its start logs first.
const began = "phase asking"

// log is what an instance's sidecars have written, from the last start on.
func (p *plant) log(name string) string {
	text := p.whole(name)
	return text[max(0, strings.LastIndex(text, began)):]
}

// verdict is what a sidecar has decided about its start, "" if it has not.
func (p *plant) verdict(name string) string {
	text := strings.ReplaceAll(p.log(name), "verdict=open", "")
	_, rest, _ := strings.Cut(text, "verdict=")
	v, _, _ := strings.Cut(rest, " ")
	return v
}

func (p *plant) verdicts(hosts ...*host) map[string]int {
	count := make(map[string]int)
	for _, h := range hosts {
		for _, name := range h.insts {
			eventually(p.t, "a verdict of "+name, func() bool { return p.verdict(name) != "" })
			count[p.verdict(name)]++
		}
	}
	return count
}

// losses is how many losses of power an agent has logged.
func (p *plant) losses(h *host) (n int) {
	text, _ := os.ReadFile(h.config + ".log")
	return strings.Count(string(text), "the host lost its power")
}

// visits is what clients saw, who come again when they are told to, within their time.
type visits struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu   sync.Mutex
	all  []visit
	lost []string
	down map[string][]time.Time // when an instance was killed
	once map[string]bool        // ids of requests that must not run twice
}

type visit struct {
	at    time.Time
	class int
	good  bool
}

var classes = []struct {
	path         string
	share, worth float64
	limit        time.Duration
}{{"status-check", 0.5, 1, 3 * time.Second}, {"id-register", 0.3, 3, 2500 * time.Millisecond}, {"activate", 0.2, 10, 2500 * time.Millisecond}}

// visit sends so many requests a second to each instance until halt.
func (p *plant) visit(perSecond float64) *visits {
	v := &visits{stop: make(chan struct{}), down: make(map[string][]time.Time), once: make(map[string]bool)}
	for _, h := range p.hosts {
		for name, addr := range h.listen {
			v.wg.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(p.rank[name]), 5))
				for n := 0; ; n++ {
					select {
					case <-v.stop:
						return
					case <-time.After(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))):
					}
					x, class := rng.Float64(), 0
					for x > classes[class].share && class < len(classes)-1 {
						x -= classes[class].share
						class++
					}
					v.wg.Go(func() { v.client(name, addr, n, class) })
				}
			})
		}
	}
	p.t.Cleanup(v.halt)
	return v
}

func (v *visits) halt() {
	v.mu.Lock()
	select {
	case <-v.stop:
	default:
		close(v.stop)
	}
	v.mu.Unlock()
	v.wg.Wait()
}

// client asks until it is served, or not to come again, or its time is over.
func (v *visits) client(name, addr string, n, class int) {
	began := time.Now()
	end := began.Add(classes[class].limit)
	good := false
	for try := 0; ; try++ {
		id := fmt.Sprintf("%s-%d-%d", name, n, try)
		status, after := v.ask(name, addr, id, class, end)
		good = status == http.StatusOK
		if good || status != http.StatusServiceUnavailable && status != 0 {
			break
		}
		if time.Now().Add(after).After(end) {
			break
		}
		time.Sleep(max(after, 50*time.Millisecond)) // who found nobody there comes back at once
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.all = append(v.all, visit{began, class, good})
}

// ask makes one request; 0 is for one that nobody took.
func (v *visits) ask(name, addr, id string, class int, end time.Time) (status int, after time.Duration) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, 0
	}
	defer nc.Close()
	nc.SetDeadline(end.Add(3 * time.Second))
	c := classes[class]
	head := fmt.Sprintf("Host: app\r\nReq-Kind: %s\r\nConnection: close\r\nReq-Id: %s\r\nReq-Deadline-Ms: %d\r\n", c.path, id, max(1, time.Until(end).Milliseconds()))
	switch class {
	case 0:
		head = "GET /status-check HTTP/1.1\r\n" + head + "\r\n"
	case 1:
		head = "POST /id-register HTTP/1.1\r\n" + head + "Idempotency-Key: " + id + "\r\nContent-Length: 4\r\n\r\ncard"
	default:
		head = "POST /activate HTTP/1.1\r\n" + head + "Content-Length: 4\r\n\r\ncard"
		v.mu.Lock()
		v.once[id] = true
		v.mu.Unlock()
	}
	if _, err := io.WriteString(nc, head); err != nil {
		return 0, 0
	}
	wrote := time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		v.mu.Lock()
		defer v.mu.Unlock()
		for _, k := range v.down[name] {
			if k.After(wrote.Add(-time.Second)) && k.Before(time.Now().Add(time.Second)) {
				return http.StatusBadGateway, 0 // it was killed: nobody can say what became of it
			}
		}
		v.lost = append(v.lost, fmt.Sprintf("%s: %v", id, err))
		return http.StatusBadGateway, 0
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}

func (v *visits) killed(hosts ...*host) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, h := range hosts {
		for _, name := range h.insts {
			v.down[name] = append(v.down[name], time.Now())
		}
	}
}

// share is the share of the worth offered in a span that was served; of one class, or all.
func (v *visits) share(class int, from time.Time, span time.Duration) float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	offered, served := 0.0, 0.0
	for _, x := range v.all {
		if x.at.Before(from) || !x.at.Before(from.Add(span)) || class >= 0 && x.class != class {
			continue
		}
		offered += classes[x.class].worth
		if x.good {
			served += classes[x.class].worth
		}
	}
	return served / max(offered, 1)
}

// judged checks the rules by what servers and clients counted.
func (p *plant) judged(v *visits) {
	p.t.Helper()
	v.halt()
	if len(v.lost) > 0 {
		p.t.Errorf("%d requests lost, as %s", len(v.lost), v.lost[0])
	}
	for id, n := range p.shop.Runs() {
		if v.once[id] && n > 1 {
			p.t.Errorf("%s ran %d times", id, n)
		}
	}
	if n := p.ramp.Fallen(); n > 0 {
		p.t.Errorf("%d cold servers fell", n)
	}
}

// back waits until nine tenths of the worth offered within two seconds are served, and
// returns when that was.
func (p *plant) back(v *visits, from time.Time) time.Duration {
	p.t.Helper()
	const span = 2 * time.Second
	at := from
	eventually(p.t, "nine tenths of the worth", func() bool {
		for ; time.Since(at) > span+3*time.Second; at = at.Add(500 * time.Millisecond) {
			if v.share(-1, at, span) >= 0.9 {
				return true
			}
		}
		return false
	})
	return at.Sub(from)
}

// inWaves checks that on each host every shop had one before any had two.
func (p *plant) inWaves(states []client.HostState) {
	p.t.Helper()
	for _, h := range states {
		first, second := make(map[string]time.Time), make(map[string]time.Time)
		for _, i := range h.Instances {
			s := i.Labels["shop"]
			switch at, there := first[s]; {
			case !there:
				first[s] = i.Launched
			case i.Launched.Before(at):
				first[s], second[s] = i.Launched, at
			default:
				second[s] = i.Launched
			}
		}
		for a, late := range first {
			for b, early := range second {
				if early.Before(late) {
					p.t.Errorf("%s: %s had two before %s had one", h.Host.Name, b, a)
				}
			}
		}
	}
}

// The whole fleet loses its power, servers too: everything comes back in drawn order while
// clients come again at once.
func TestPowerLossWholeFleet(t *testing.T) {
	hosts, each := sized("E2E_HOSTS", 3), sized("E2E_EACH", 4)
	parts, ok := os.LookupEnv("E2E_PARTS")
	if !ok {
		parts = "return,peers"
	}
	p := newPlant(t, hosts, each, parts)
	p.startAll()
	v := p.visit(10)
	eventually(t, "clients that are served", func() bool { return v.share(-1, time.Now().Add(-2*time.Second), 2*time.Second) > 0.9 })
	p.off(v, p.hosts...)
	at := time.Now()
	p.ramp.Restart(at)
	p.shop.Started(at)
	p.on(rand.New(rand.NewPCG(1, 1)), p.hosts...)
	states := p.ready()
	ready := time.Since(at)
	took := p.back(v, at)
	t.Logf("%d sidecars on %d hosts, %s: ready after %v, nine tenths of the worth from %v on; first half of the ramp: status %.2f register %.2f activate %.2f, all %.2f",
		hosts*each, hosts, parts, ready, took, v.share(0, at, p.ramp.For/2), v.share(1, at, p.ramp.For/2), v.share(2, at, p.ramp.For/2), v.share(-1, at, p.ramp.For/2))
	p.inWaves(states)
	p.judged(v)
	if !strings.Contains(parts, "peers") {
		return
	}
	if c := p.verdicts(p.hosts...); c["alone"] > 0 {
		t.Errorf("verdicts after the loss of everything: %v", c)
	}
	for _, h := range p.hosts {
		if n := p.losses(h); n != 1 {
			t.Errorf("%s counts %d losses", h.name, n)
		}
	}
	if dear, cheap := v.share(2, at, p.ramp.For/2), v.share(0, at, p.ramp.For/2); dear < cheap-0.1 {
		t.Errorf("while servers were cold %.2f of activate and %.2f of status-check were served", dear, cheap)
	}
}

// One sidecar that dies comes back alone: the others stayed up, and no agent takes it for
// a loss. So does a zone that loses its power: the others tell.
func TestOneRestartIsNotALoss(t *testing.T) {
	p := newPlant(t, 3, 2, "return,peers")
	p.startAll()
	for _, h := range p.hosts {
		for _, name := range h.insts {
			eventually(t, name+" serves", func() bool { return strings.Contains(p.log(name), "phase serving") })
		}
	}
	time.Sleep(6 * time.Second) // a word that it stayed up counts from an age of five on
	name := p.hosts[0].insts[0]
	for launch, f := range proc.Find(p.hosts[0].name + "/" + name + "/") {
		t.Log("killed", launch)
		syscall.Kill(f.PID, syscall.SIGKILL)
	}
	eventually(t, "a new process", func() bool { return strings.Count(p.whole(name), began) == 2 })
	if eventually(t, "a verdict", func() bool { return p.verdict(name) != "" }); p.verdict(name) != "alone" {
		t.Errorf("one that came back alone says %s:\n%s", p.verdict(name), p.log(name))
	}
	if n := p.losses(p.hosts[0]); n > 0 {
		t.Errorf("one crash was taken for %d losses of power", n)
	}
	// A zone.
	h := p.hosts[1]
	p.off(nil, h)
	p.on(rand.New(rand.NewPCG(1, 1)), h)
	p.ready()
	if c := p.verdicts(h); c["alone"] != len(h.insts) {
		t.Errorf("verdicts of a zone that came back: %v", c)
	}
	if n := p.losses(h); n != 1 {
		t.Errorf("its agent counts %d losses", n)
	}
}

// whole is all that an instance's sidecars have written.
func (p *plant) whole(name string) string {
	text, _ := os.ReadFile(filepath.Join(filepath.Dir(p.hostOf(name).config), "s", "logs", name+".log"))
	return string(text)
}

// A second loss in the midst of the return, and a host that never comes back: the rest
// comes up all the same, and its agents back off.
func TestSecondLossMidRecovery(t *testing.T) {
	if testing.Short() {
		t.Skip("longer: not in CI")
	}
	p := newPlant(t, 3, 4, "return,peers")
	p.startAll()
	v := p.visit(8)
	rng := rand.New(rand.NewPCG(2, 2))
	left := p.hosts[:2]
	p.off(v, p.hosts...)
	p.on(rng, left...)
	eventually(t, "the first wave", func() bool { return len(proc.Find(left[0].name+"/")) > 0 && len(proc.Find(left[1].name+"/")) > 0 })
	p.off(v, left...)
	at := time.Now()
	p.ramp.Restart(at)
	p.shop.Started(at)
	p.on(rng, left...)
	p.hosts = left // the third never returns
	var states []client.HostState
	eventually(t, "all that came back ready", func() bool {
		states = nil
		ready := 0
		for _, h := range p.fleet.List(context.Background(), &inventory.Select{}) {
			if h.Host.Name == left[0].name || h.Host.Name == left[1].name {
				states = append(states, h)
				for _, i := range h.Instances {
					if i.State == "ready" {
						ready++
					}
				}
			}
		}
		return ready == 8
	})
	for _, h := range left {
		if n := p.losses(h); n != 2 {
			t.Errorf("%s counts %d losses", h.name, n)
		}
		data, _ := os.ReadFile(filepath.Join(filepath.Dir(h.config), "s", "losses.json"))
		if !strings.Contains(string(data), `"recent":2`) {
			t.Errorf("%s keeps %s", h.name, data)
		}
	}
	p.inWaves(states)
	eventually(t, "clients of the hosts that are there are served", func() bool {
		good := 0
		v.mu.Lock()
		for _, x := range v.all[max(0, len(v.all)-100):] {
			if x.good && x.at.After(at) {
				good++
			}
		}
		v.mu.Unlock()
		return good > 50
	})
	p.judged(v)
}

// Peers that are not heard hold nothing up: the sidecar is ready in its usual time, serves,
// and is careful.
func TestPeersSilentAtStart(t *testing.T) {
	p := newPlant(t, 1, 3, "return,peers")
	p.mesh.Set(faultnet.Fault{Drop: true}, func(int, int) bool { return true })
	p.startAll()
	for _, name := range p.hosts[0].insts {
		v := &visits{down: make(map[string][]time.Time), once: make(map[string]bool)}
		for n := range 20 {
			v.client(name, p.hosts[0].listen[name], n, n%3)
		}
		if s := v.share(-1, time.Now().Add(-time.Hour), time.Hour); s < 1 {
			t.Errorf("%s: %.2f of the worth served while nobody is heard", name, s)
		}
	}
	if c := p.verdicts(p.hosts...); c["unsure"] != 3 {
		t.Errorf("verdicts: %v", c)
	}
}

// An operation under way when the power goes holds: the run that had it gets nothing more
// from that host, and a resume goes on without doing anything twice.
func TestPowerLossMidChange(t *testing.T) {
	if testing.Short() {
		t.Skip("longer: not in CI")
	}
	p := newPlant(t, 2, 3, "return,peers")
	p.startAll()
	op := p.op(api.ActRestart, func(o *api.Operation) { o.Soak = 2 * time.Second })
	done := make(chan *client.Report, 1)
	opt := options()
	opt.GiveUp = 8 * time.Second
	go func() {
		rep, err := p.fleet.Start(context.Background(), op, opt)
		if err != nil {
			t.Error(err)
		}
		done <- rep
	}()
	eventually(t, "a step under way", func() bool { return len(proc.Find(p.hosts[0].name+"/"+p.hosts[0].insts[0]+"/2/")) > 0 })
	p.off(nil, p.hosts...)
	p.on(rand.New(rand.NewPCG(3, 3)), p.hosts...)
	p.ready()
	rep := <-done
	p.settled(p.hosts...)
	if rep.Result == rollout.Succeeded {
		t.Errorf("the run went on as if nothing had been: %s, %+v", rep.Result, rep.Rows)
	}
	again := options()
	rep, err := p.fleet.Resume(context.Background(), op.ID, again)
	if err != nil {
		t.Fatal(err)
	}
	for name, r := range p.once(rep, op) {
		if r.Outcome != rollout.Changed {
			t.Errorf("resumed, %s ends as %s: %s", name, r.Outcome, r.Reason)
		}
	}
	for _, h := range p.ready() {
		for _, i := range h.Instances {
			if i.Generation != 2 {
				t.Errorf("%s is in generation %d: a restart was repeated or skipped", i.Name, i.Generation)
			}
		}
	}
}

// While one host comes back nothing is begun on any: not by its agent, and not by a command
// for another host. It may be once all waves have begun.
func TestDrainDuringRecoveryHolds(t *testing.T) {
	p := newSlowPlant(t, 2, 4, "return", 2*time.Second)
	p.startAll()
	p.off(nil, p.hosts[0])
	p.on(rand.New(rand.NewPCG(1, 1)), p.hosts[0])
	var h client.HostState
	eventually(t, "a host that says that it comes back", func() bool {
		h = p.fleet.List(context.Background(), &inventory.Select{})[0]
		return h.Returning != ""
	})
	drain := p.op(api.ActDrain, func(o *api.Operation) {
		o.Targets = []api.Target{{Host: p.hosts[1].name, Instance: p.hosts[1].insts[0]}}
	})
	_, err := p.fleet.Start(context.Background(), drain, options())
	if e, ok := errors.AsType[*api.ReturningError](err); !ok || e.Host != p.hosts[0].name {
		t.Errorf("a drain of another host: %v", err)
	}
	own := p.op(api.ActRestart, func(o *api.Operation) {
		o.Targets = []api.Target{{Host: p.hosts[0].name, Instance: p.hosts[0].insts[0]}}
	})
	if err := p.fleet.Agents[0].Call(context.Background(), api.OpOpen, &api.OpenIn{Operation: own, LeaseHolder: "me", TTL: time.Second}, nil); code(err) != api.LeaseHeld || !strings.Contains(err.Error(), "power loss") {
		t.Errorf("an operation there: %v", err)
	}
	states := p.ready()
	p.settled(p.hosts[0])
	p.inWaves(states[:1]) // the other started as ever, all at once
	if states[0].Epoch != 1 || states[1].Epoch != 0 {
		t.Errorf("losses told: %d and %d", states[0].Epoch, states[1].Epoch)
	}
	rep, err := p.fleet.Start(context.Background(), drain, options())
	if err != nil || rep.Result != rollout.Succeeded {
		t.Errorf("a drain after it: %v, %+v", err, rep)
	}
}

// The power goes again at each write of the record that an agent makes while its host
// comes back, before and after it: the next start ends as if nothing had been.
func TestPowerLossAtEveryWrite(t *testing.T) {
	if testing.Short() {
		t.Skip("longer: not in CI")
	}
	p := newPlant(t, 1, 3, "return")
	p.startAll()
	h := p.hosts[0]
	op := p.op(api.ActRestart, nil)
	opt := options()
	opt.TTL = time.Minute // longer than the test: only the loss ends it
	var token int64
	for at := 1; at <= 8; at++ {
		for _, after := range []string{"", "1"} {
			t.Logf("write %d, after it %q", at, after)
			if token == 0 {
				token = p.opened(op, opt.LeaseHolder)
			}
			p.off(nil, h)
			h.start("E2E_AGENT="+h.config, fmt.Sprint("E2E_CRASH_AT=", at), "E2E_CRASH_AFTER="+after)
			died := h.ends(3 * time.Second)
			p.off(nil, h)
			h.start()
			states := p.ready()
			p.observed(states)
			for _, i := range states[0].Instances {
				if i.Generation != 1 || i.LeaseHolder != "" || i.Operation != op.ID {
					t.Errorf("%s: generation %d, held by %q, operation %q", i.Name, i.Generation, i.LeaseHolder, i.Operation)
				}
			}
			p.settled(h)
			agent, ctx := p.fleet.Agents[0], context.Background()
			if err := agent.Call(ctx, api.StepStart, &api.StepIn{Op: op.ID, Token: token, Instance: h.insts[0], Kind: api.Change}, nil); code(err) != api.Fenced {
				t.Errorf("a step by a token of before the loss: %v", err)
			}
			if err := agent.Call(ctx, api.OpOpen, &api.OpenIn{Operation: op, LeaseHolder: opt.LeaseHolder, TTL: time.Minute}, nil); code(err) != api.LeaseHeld || !strings.Contains(err.Error(), "lost its power") {
				t.Errorf("the run of before the loss asks again: %v", err)
			}
			if !died {
				return // there is no such write: all were tried
			}
		}
	}
	t.Error("the return has more writes than were tried")
}

// settled waits until no wave of the hosts is to come.
func (p *plant) settled(hosts ...*host) {
	p.t.Helper()
	eventually(p.t, "the end of the waves", func() bool {
		for _, s := range p.fleet.List(context.Background(), &inventory.Select{}) {
			for _, h := range hosts {
				if s.Host.Name == h.name && (s.Error != "" || s.Returning != "") {
					return false
				}
			}
		}
		return true
	})
}

// opened opens an operation at the one agent and returns its token.
func (p *plant) opened(op api.Operation, holder string) int64 {
	p.t.Helper()
	var out api.OpenOut
	if err := p.fleet.Agents[0].Call(context.Background(), api.OpOpen, &api.OpenIn{Operation: op, LeaseHolder: holder, TTL: time.Minute}, &out); err != nil {
		p.t.Fatal(err)
	}
	return out.Token
}

// ends waits for the agent's end, and says whether it came.
func (h *host) ends(within time.Duration) bool {
	h.mu.Lock()
	end := h.end
	h.mu.Unlock()
	select {
	case <-end:
		return true
	case <-time.After(within):
		return false
	}
}
