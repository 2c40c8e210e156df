package link

import (
	"errors"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"martendrum/internal/peers"
	"martendrum/internal/standin/faultnet"
)

const (
	testTimeout = 20 * time.Second
	hot         = 1
)

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("timed out waiting until " + what)
		}
	}
}

// unusedAddresses returns loopback addresses without a listener.
func unusedAddresses(t *testing.T, n int) (addrs []string) {
	t.Helper()
	for range n {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		addrs = append(addrs, c.LocalAddr().String())
	}
	return addrs
}

func open(t *testing.T, self int, home string, public []string) *Link {
	t.Helper()
	l, err := Open(Config{Listen: home, Peers: public, Seed: uint64(self), Node: peers.Config{
		Cluster: "test", Self: peers.Rank(self), Period: 100 * time.Millisecond,
		Kinds: []peers.Kind{{ID: hot, TTL: time.Minute, Hot: true}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (l *Link) states() (s []peers.State) {
	l.Do(func(now time.Duration, n *peers.Node) {
		for r := range l.addrs {
			s = append(s, n.Member(peers.Rank(r), now).State)
		}
	})
	return s
}

// Sidecars on sockets, with a fifth of the datagrams lost and some duplicated, learn which members
// are alive, receive an entry, and learn that a member has left and come back.
func TestSidecarsOnSockets(t *testing.T) {
	defer goleak.VerifyNone(t)
	const size = 5
	net := faultnet.New(7)
	defer net.Close()
	at := unusedAddresses(t, size)
	mesh, err := net.Mesh(at)
	if err != nil {
		t.Fatal(err)
	}
	mesh.Set(faultnet.Fault{Loss: 0.2, Double: 0.1, Jitter: 5 * time.Millisecond}, func(int, int) bool { return true })
	var links []*Link
	for i := range size {
		links = append(links, open(t, i, at[i], mesh.Addrs()))
		defer links[i].Close()
	}
	all := func(want peers.State, of int) func() bool {
		return func() bool {
			for i, l := range links {
				if i != of && l.states()[of] != want {
					return false
				}
			}
			return true
		}
	}
	for i := range size {
		eventually(t, "all know that one is alive", all(peers.Alive, i))
	}
	links[2].Do(func(now time.Duration, n *peers.Node) { n.Publish(now, hot, 77, 5) })
	eventually(t, "all know an entry", func() bool {
		known := 0
		for _, l := range links {
			l.Do(func(now time.Duration, n *peers.Node) {
				if f, ok := n.Entry(now, 2, hot, 77); ok && f.Value == 5 {
					known++
				}
			})
		}
		return known == size
	})
	links[0].Close()
	eventually(t, "all know that one has left", func() bool {
		return links[1].states()[0] == peers.Left && links[2].states()[0] == peers.Left
	})
	links[0] = open(t, 0, at[0], mesh.Addrs())
	defer links[0].Close()
	eventually(t, "all know that it is back", all(peers.Alive, 0))
	if mesh.Carried(1) == 0 {
		t.Error("the mesh counted nothing")
	}
}

// Datagrams from outside the fleet are dropped and counted. Unusable addresses are reported with
// advice.
func TestUnknownSendersAndInvalidAddresses(t *testing.T) {
	defer goleak.VerifyNone(t)
	at := unusedAddresses(t, 2)
	l := open(t, 0, at[0], at)
	defer l.Close()
	c, err := net.Dial("udp4", at[0])
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("hello"))
	eventually(t, "an unknown sender is counted", func() bool { return l.Counts().UnknownSenders == 1 })
	for _, config := range []Config{
		{Listen: "nowhere", Peers: at},
		{Listen: at[0], Peers: at}, // in use
		{Listen: at[1], Peers: []string{at[0], at[0]}},
		{Listen: at[1], Peers: []string{at[0], "[::1]:5"}},
	} {
		config.Node.Cluster = "test"
		_, err := Open(config)
		if a, ok := errors.AsType[*AddrError](err); !ok || a.Advice() == "" || a.Field == "" {
			t.Errorf("%+v: %v", config, err)
		}
	}
}
