package sidecar

import (
	"time"

	"martendrum"
	"martendrum/internal/upstream"
)

// probeTimeout is the time after which a probe is abandoned.
const probeTimeout = 500 * time.Millisecond

// probeRequest is the request for a server's load report.
var probeRequest = &upstream.Request{Method: "GET", Head: []byte("GET /_load HTTP/1.1\r\nHost: server\r\n")}

// probe is an attempt that sends probeRequest to a server.
type probe struct {
	upstream.Attempt
	host *Host
}

// Probe implements martendrum.Host.
func (h *Host) Probe(server string) {
	p := &probe{host: h}
	p.Attempt = upstream.Attempt{Request: probeRequest, Server: server, Deadline: time.Now().Add(probeTimeout), Sink: p}
	h.enqueue(func() {
		time.AfterFunc(probeTimeout, func() {
			p.Abandon()
			p.Close()
		})
		h.pool.Start(&p.Attempt)
	})
}

// Done implements upstream.Sink. The load report is taken from the answer's header field, or else from
// its body.
func (p *probe) Done(outcome martendrum.Outcome, answer *upstream.Answer, report martendrum.LoadReport) {
	if outcome != martendrum.OK || answer == nil {
		return
	}
	if !report.HasInFlight && !report.HasUtilization {
		report = upstream.ParseLoad(string(answer.Body))
	}
	p.host.handle(func(now time.Duration) { p.host.balancer.ProbeAnswered(now, p.Server, report) })
}
