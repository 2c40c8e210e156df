package faultnet

import (
	"fmt"
	"net"
	"net/netip"
)

// Mesh carries datagrams between named members, each of which has one public address in
// it: what is sent there arrives at the member's own, from the sender's public address.
// Faults are set for each ordered pair.
type Mesh struct {
	net     *Net
	ports   []*net.UDPConn // by member, its public address
	homes   []netip.AddrPort
	members map[netip.AddrPort]int

	faults  [][]Fault // from, to; guarded by the net's lock
	carried []int64   // bytes from each, as sent; guarded by the net's lock
}

// Mesh makes a mesh of members whose own addresses are given.
func (n *Net) Mesh(homes []string) (*Mesh, error) {
	m := &Mesh{net: n, members: make(map[netip.AddrPort]int), carried: make([]int64, len(homes))}
	for i, text := range homes {
		home, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("faultnet: mesh: member %d: %w", i, err)
		}
		m.homes = append(m.homes, home)
		m.members[home] = i
		m.faults = append(m.faults, make([]Fault, len(homes)))
	}
	for i := range homes {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			for _, p := range m.ports {
				p.Close()
			}
			return nil, fmt.Errorf("faultnet: mesh: member %d: %w", i, err)
		}
		m.ports = append(m.ports, c)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.meshes = append(n.meshes, m)
	for i := range m.ports {
		n.wg.Go(func() { m.carry(i) })
	}
	return m, nil
}

// Addrs are the members' public addresses.
func (m *Mesh) Addrs() (addrs []string) {
	for _, p := range m.ports {
		addrs = append(addrs, p.LocalAddr().String())
	}
	return addrs
}

// Set sets a fault on the ways from one member to another for which pick says so.
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

// Carried is how many bytes a member has sent.
func (m *Mesh) Carried(from int) int64 {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	return m.carried[from]
}

func (m *Mesh) close() {
	for _, p := range m.ports {
		p.Close()
	}
}

// carry passes on what comes for one member.
func (m *Mesh) carry(to int) {
	buf := make([]byte, 64<<10)
	for {
		n, addr, err := m.ports[to].ReadFromUDPAddrPort(buf)
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
		copies, wait := m.net.fate(f, Both)
		m.net.later(buf[:n], copies, wait, func(b []byte) { m.ports[from].WriteToUDPAddrPort(b, m.homes[to]) })
	}
}
