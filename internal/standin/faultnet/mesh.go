package faultnet

import (
	"fmt"
	"net"
	"net/netip"
)

// Mesh relays datagrams between members, which are numbered from 0. Each member has its own address
// and a public address in the mesh. A datagram that a member sends from its own address to
// another's public address arrives at the other's own address, with the sender's public address as
// its source. Faults are set for each ordered pair of members.
type Mesh struct {
	net     *Net
	sockets []*net.UDPConn         // by member, bound to its public address
	own     []netip.AddrPort       // by member, its own address
	members map[netip.AddrPort]int // the member by its own address

	faults  [][]Fault // by sender and receiver; guarded by net.mu
	carried []int64   // by sender, the bytes sent, including those lost; guarded by net.mu
}

// Mesh makes a mesh of members with the given own addresses, each IP:port.
func (n *Net) Mesh(ownAddrs []string) (*Mesh, error) {
	m := &Mesh{net: n, members: make(map[netip.AddrPort]int), carried: make([]int64, len(ownAddrs))}
	for i, text := range ownAddrs {
		own, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("faultnet: mesh: member %d: %w", i, err)
		}
		m.own = append(m.own, own)
		m.members[own] = i
		m.faults = append(m.faults, make([]Fault, len(ownAddrs)))
	}
	for i := range ownAddrs {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			for _, p := range m.sockets {
				p.Close()
			}
			return nil, fmt.Errorf("faultnet: mesh: member %d: %w", i, err)
		}
		m.sockets = append(m.sockets, c)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.meshes = append(n.meshes, m)
	for i := range m.sockets {
		n.wg.Go(func() { m.relay(i) })
	}
	return m, nil
}

// Addrs returns the members' public addresses, by member.
func (m *Mesh) Addrs() (addrs []string) {
	for _, p := range m.sockets {
		addrs = append(addrs, p.LocalAddr().String())
	}
	return addrs
}

// Set sets a fault for the ordered pairs of members for which pick returns true. It replaces
// their earlier fault.
func (m *Mesh) Set(f Fault, pick func(from, to int) bool) {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	for from := range m.faults {
		for to := range m.faults[from] {
			if pick(from, to) {
				m.faults[from][to] = f
			}
		}
	}
}

// Carried returns the number of bytes that a member has sent to others, including those lost.
func (m *Mesh) Carried(from int) int64 {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	return m.carried[from]
}

func (m *Mesh) close() {
	for _, p := range m.sockets {
		p.Close()
	}
}

// relay relays the datagrams that are sent to one member's public address, until the mesh is closed.
// It ignores datagrams from other addresses than the members'.
func (m *Mesh) relay(to int) {
	buf := make([]byte, 64<<10)
	for {
		n, addr, err := m.sockets[to].ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		from, ok := m.members[addr]
		if !ok {
			continue
		}
		m.net.mu.Lock()
		f := m.faults[from][to]
		m.carried[from] += int64(n)
		m.net.mu.Unlock()
		copies, delay := m.net.drawDelivery(f, Both)
		m.net.sendCopies(buf[:n], copies, delay, func(b []byte) { m.sockets[from].WriteToUDPAddrPort(b, m.own[to]) })
	}
}
