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

// eventually waits until ok returns true, and fails the test after testTimeout. what completes the sentence
// "timed out waiting until".
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
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatalf("listen: %v", err)
		}
		defer conn.Close()
		addrs = append(addrs, conn.LocalAddr().String())
	}
	return addrs
}

// open opens the Link of the sidecar with rank self, which receives datagrams at listen and sends to the
// addresses peerAddrs.
func open(t *testing.T, self int, listen string, peerAddrs []string) *Link {
	t.Helper()
	l, err := Open(Config{Listen: listen, Peers: peerAddrs, Seed: uint64(self), Node: peers.Config{
		Cluster: "test", Self: peers.Rank(self), Period: 100 * time.Millisecond,
		Kinds: []peers.EntryKind{{ID: hot, TTL: time.Minute, Hot: true}},
	}})
	if err != nil {
		t.Fatalf("Open: %v", err)
	}
	return l
}

// states returns the state of each member, by rank.
func (l *Link) states() (states []peers.State) {
	l.Do(func(now time.Duration, n *peers.Node) {
		for r := range l.addrs {
			states = append(states, n.Member(peers.Rank(r), now).State)
		}
	})
	return states
}

// TestSidecarsOnSockets checks that sidecars on sockets, with a fifth of the datagrams lost and a tenth
// duplicated, learn which members are alive, receive an entry, and learn that a member has left and has
// come back.
func TestSidecarsOnSockets(t *testing.T) {
	defer goleak.VerifyNone(t)
	const size = 5
	network := faultnet.New(7)
	defer network.Close()
	addrs := unusedAddresses(t, size)
	mesh, err := network.Mesh(addrs)
	if err != nil {
		t.Fatalf("Mesh: %v", err)
	}
	mesh.Set(faultnet.Fault{Loss: 0.2, Double: 0.1, Jitter: 5 * time.Millisecond}, func(int, int) bool { return true })
	var links []*Link
	for i := range size {
		links = append(links, open(t, i, addrs[i], mesh.Addrs()))
		defer links[i].Close()
	}
	allSee := func(want peers.State, rank int) func() bool {
		return func() bool {
			for i, l := range links {
				if i != rank && l.states()[rank] != want {
					return false
				}
			}
			return true
		}
	}
	for i := range size {
		eventually(t, "all other members see a member as alive", allSee(peers.Alive, i))
	}
	links[2].Do(func(now time.Duration, n *peers.Node) { n.Publish(now, hot, 77, 5) })
	eventually(t, "all members have received the entry", func() bool {
		known := 0
		for _, l := range links {
			l.Do(func(now time.Duration, n *peers.Node) {
				if entry, ok := n.Entry(now, 2, hot, 77); ok && entry.Value == 5 {
					known++
				}
			})
		}
		return known == size
	})
	links[0].Close()
	eventually(t, "two members see that a member has left", func() bool {
		return links[1].states()[0] == peers.Left && links[2].states()[0] == peers.Left
	})
	links[0] = open(t, 0, addrs[0], mesh.Addrs())
	defer links[0].Close()
	eventually(t, "all other members see the returned member as alive", allSee(peers.Alive, 0))
	if mesh.Carried(1) == 0 {
		t.Error("Carried(1) = 0, want datagrams carried by the mesh")
	}
}

// TestUnknownSendersAndInvalidAddresses checks that datagrams from outside the fleet are dropped and counted,
// and that addresses that can't be used are reported with advice.
func TestUnknownSendersAndInvalidAddresses(t *testing.T) {
	defer goleak.VerifyNone(t)
	addrs := unusedAddresses(t, 2)
	l := open(t, 0, addrs[0], addrs)
	defer l.Close()
	conn, err := net.Dial("udp4", addrs[0])
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	defer conn.Close()
	conn.Write([]byte("hello"))
	eventually(t, "an unknown sender is counted", func() bool { return l.Counts().UnknownSenders == 1 })
	for _, config := range []Config{
		{Listen: "nowhere", Peers: addrs},
		{Listen: addrs[0], Peers: addrs}, // in use
		{Listen: addrs[1], Peers: []string{addrs[0], addrs[0]}},
		{Listen: addrs[1], Peers: []string{addrs[0], "[::1]:5"}},
	} {
		config.Node.Cluster = "test"
		_, err := Open(config)
		if addrErr, ok := errors.AsType[*AddrError](err); !ok || addrErr.Advice() == "" || addrErr.Field == "" {
			t.Errorf("Open(%+v): error = %v, want an AddrError with a field and advice", config, err)
		}
	}
}
