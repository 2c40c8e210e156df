package main

import (
	"math"
	"time"

	"martendrum/internal/metrics"
	"martendrum/internal/peers"
)

// addGauges adds the gauges whose values are read from the parts of the process.
func (p *sidecarProcess) addGauges() {
	set, r := p.metrics, p.resources
	host, server, pool, watcher := r.host, r.server, r.pool, p.watcher
	set.Gauge("active", "", func() float64 { return float64(server.Active()) })
	set.Gauge("pool_size", "", func() float64 { listed, _ := host.Servers(); return float64(listed) })
	set.Gauge("pool_ejected", "", func() float64 { _, avoided := host.Servers(); return float64(avoided) })
	set.Gauge("held", "", func() float64 { return float64(host.InFlight()) })
	set.Gauge("connections", `side="client"`, func() float64 { return float64(server.Conns()) })
	set.Gauge("connections", `side="server"`, func() float64 { return float64(pool.Conns()) })
	set.Gauge("body_bytes", `of="held"`, func() float64 { used, _ := server.BodyBytes(); return float64(used) })
	set.Gauge("body_bytes", `of="most"`, func() float64 { _, limit := server.BodyBytes(); return float64(limit) })
	set.Gauge("discovery_age_seconds", "", func() float64 {
		age, ok := watcher.Age()
		if !ok {
			return math.NaN()
		}
		return age.Seconds()
	})
	set.Gauge("share", `of="sockets"`, func() float64 { return float64(r.currentQuota().Sockets) })
	set.Gauge("share", `of="memory_mb"`, func() float64 { return float64(r.currentQuota().MemoryMB) })
}

// addPeerGauges adds the gauges of the link to peers. Their values are NaN while there is no link.
func (c *coordinator) addPeerGauges(metricSet *metrics.Set) {
	fromNode := func(read func(now time.Duration, node *peers.Node) float64) func() float64 {
		return func() float64 {
			value := math.NaN()
			c.withNode(func(now time.Duration, node *peers.Node) { value = read(now, node) })
			return value
		}
	}
	addCount := func(name, labels string, count func(peers.Stats) uint64) {
		metricSet.Gauge(name, labels, fromNode(func(_ time.Duration, node *peers.Node) float64 { return float64(count(node.Stats())) }))
	}
	metricSet.Gauge("peers", `state="living"`, fromNode(func(now time.Duration, node *peers.Node) float64 { return float64(node.Count(now).Living) }))
	metricSet.Gauge("peers", `state="known"`, fromNode(func(now time.Duration, node *peers.Node) float64 { return float64(node.Count(now).Known) }))
	metricSet.Gauge("peers", `state="all"`, fromNode(func(now time.Duration, node *peers.Node) float64 { return float64(node.Count(now).Size) }))
	metricSet.Gauge("peer_life", "", fromNode(func(_ time.Duration, node *peers.Node) float64 { return float64(node.Incarnation()) }))
	metricSet.Gauge("peer_health", "", fromNode(func(_ time.Duration, node *peers.Node) float64 { return float64(node.Health()) }))
	addCount("peer_bytes", `way="out"`, func(s peers.Stats) uint64 { return s.SentBytes })
	addCount("peer_bytes", `way="in"`, func(s peers.Stats) uint64 { return s.ReceivedBytes })
	addCount("peer_dropped", `why="damaged"`, func(s peers.Stats) uint64 { return s.Damaged })
	addCount("peer_dropped", `why="refused"`, func(s peers.Stats) uint64 { return s.Rejected })
	addCount("peer_dropped", `why="ceiling"`, func(s peers.Stats) uint64 { return s.RateLimited })
	metricSet.Gauge("peer_dropped", `why="stranger"`, func() float64 {
		if l := c.currentLink(); l != nil {
			return float64(l.Counts().UnknownSenders)
		}
		return math.NaN()
	})
}
