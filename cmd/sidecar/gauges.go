package main

import "math"

// addGauges adds the metrics whose values the parts of the process know.
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
	set.Gauge("share", `of="sockets"`, func() float64 { return float64(r.currentShare().Sockets) })
	set.Gauge("share", `of="memory_mb"`, func() float64 { return float64(r.currentShare().MemoryMB) })
}
