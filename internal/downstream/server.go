package downstream

import (
	"log/slog"
	"net"
	"sync"
	"time"

	"martendrum/internal/netconn"
	"martendrum/internal/shutdown"
)

// Server accepts and owns client connections.
type Server struct {
	config  Config
	handler Handler
	meter   Meter
	budget  budget

	mu            sync.Mutex
	conns         map[*conn]struct{}
	ids           requestIDs
	drainingSince time.Time       // zero: not draining
	health        string          // a header line of health responses
	healthFuncs   []func() string // functions that return further header lines
}

// New returns a Server that hands requests to handler.
func New(config Config, handler Handler) *Server {
	return &Server{
		config:  config,
		handler: handler,
		meter:   unmetered{},
		budget:  budget{left: config.MaxBody},
		conns:   make(map[*conn]struct{}),
		ids:     requestIDs{known: make(map[string]bool)},
	}
}

// SetMeter sets the Server's Meter. It is called before Serve.
func (s *Server) SetMeter(meter Meter) { s.meter = meter }

// Limit replaces the limits for later connections and bodies.
func (s *Server) Limit(config Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.give(config.MaxBody - s.config.MaxBody)
	s.config = config
}

// SetHealth sets a header line that health responses carry.
func (s *Server) SetHealth(name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health = name + ": " + value + "\r\n"
}

// SetHealthFunc adds a header line whose value is computed for each health response.
func (s *Server) SetHealthFunc(name string, value func() string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.healthFuncs = append(s.healthFuncs, func() string { return name + ": " + value() + "\r\n" })
}

// healthHeader returns the header lines of a health response.
func (s *Server) healthHeader() string {
	s.mu.Lock()
	header, funcs := s.health, s.healthFuncs
	s.mu.Unlock()
	for _, line := range funcs {
		header += line()
	}
	return header
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		netConn, err := netconn.Accept("clients", listener.Accept, s.acceptFailed)
		if err != nil {
			return err
		}
		s.add(netConn)
	}
}

// acceptFailed evicts a connection if an accept failed for lack of descriptors. The new connection
// stays in the accept queue meanwhile.
func (s *Server) acceptFailed(err error) {
	if netconn.IsTableFull(err) {
		s.evict()
	}
}

// rejectionReserve returns how many connections below the limit are reserved for rejecting requests
// with a response. Beyond the limit, new connections are closed without a response.
func rejectionReserve(limit int) int { return limit / 8 }

// add starts the goroutine of an accepted connection, or closes it if the limit is reached.
func (s *Server) add(netConn net.Conn) {
	now := time.Now()
	c := &conn{server: s, netConn: netConn, accepted: now, stateSince: now}
	c.answered.L = &s.mu
	s.mu.Lock()
	n, limit := len(s.conns), s.config.MaxConns
	s.mu.Unlock()
	crowded := n >= limit-rejectionReserve(limit) && !s.evict()
	if crowded && n >= limit {
		slog.Warn("connection closed: no descriptor left for it", "conns", n)
		netConn.Close()
		return
	}
	netConn.SetReadDeadline(now.Add(firstRequestTimeout))
	c.input = netconn.NewLazy(netConn)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go c.serve(crowded)
}

// Drain begins a graceful shutdown: it closes idle connections, and the others after their next
// response. New connections are still accepted. With keepIdle, idle connections stay open until
// CloseIdle, because closing one may race with its client's next request.
func (s *Server) Drain(keepIdle bool) {
	s.mu.Lock()
	s.drainingSince = time.Now()
	s.mu.Unlock()
	if !keepIdle {
		s.CloseIdle(0)
	}
}

// Draining reports whether Drain was called.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.drainingSince.IsZero()
}

// CloseIdle closes the connections that have been idle for at least the given time.
func (s *Server) CloseIdle(idleFor time.Duration) {
	s.closeQuiet(stateIdle, idleFor)
}

// CloseSilent closes the connections on which no byte has arrived within
// shutdown.MaxIdleConnection of their accept. Otherwise a first request could arrive just before
// the process exits.
func (s *Server) CloseSilent() {
	s.closeQuiet(stateNew, shutdown.MaxIdleConnection)
}

// CloseUnfinished ends the connections on which only a part of a request has arrived, because there
// is no time left to answer it. Their clients get an error. A request that has been read completely
// is still answered.
func (s *Server) CloseUnfinished() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state == stateReading {
			c.stopReading()
		}
	}
}

// closeQuiet closes the connections without unread input that have been in a state for at least
// minDuration.
func (s *Server) closeQuiet(state connState, minDuration time.Duration) {
	s.mu.Lock()
	closed := s.markClosed(state, minDuration)
	s.mu.Unlock()
	for _, c := range closed {
		c.closeWrite()
	}
}

// markClosed marks the connections that have been in a state for at least minDuration as closed and
// returns them. It skips connections with unread input. The lock is held; a connection's goroutine
// needs it to begin a request, so either the request or the close wins.
func (s *Server) markClosed(state connState, minDuration time.Duration) (closed []*conn) {
	for c := range s.conns {
		if c.state == state && time.Since(c.stateSince) >= minDuration && c.input.Quiet() {
			c.enter(stateClosed)
			closed = append(closed, c)
		}
	}
	return closed
}

// Active returns the number of requests that have not been answered.
func (s *Server) Active() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.exchange != nil {
			n++
		}
	}
	return n
}

// Busy returns the number of connections for which a shutdown waits: those that have a request, may
// be about to send one, or are being closed.
func (s *Server) Busy() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.isBusy() {
			n++
		}
	}
	return n
}

// Conns returns the number of client connections.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// BodyBytes returns how many bytes of request bodies are buffered, and the limit.
func (s *Server) BodyBytes() (used, limit int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.config.MaxBody - s.budget.left, s.config.MaxBody
}
