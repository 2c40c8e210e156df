package downstream

import (
	"log/slog"
	"net"
	"sync"
	"time"

	"martendrum/internal/netconn"
	"martendrum/internal/shutdown"
)

// Server accepts and owns client connections. Its methods may be called concurrently.
type Server struct {
	config  Config
	handler Handler
	meter   Meter
	budget  budget

	mu            sync.Mutex
	conns         map[*conn]struct{}
	ids           requestIDs
	drainingSince time.Time       // zero: not draining
	health        string          // header line of health responses, set by SetHealth
	healthFuncs   []func() string // functions that return further header lines of health responses
}

// New returns a Server that hands requests to handler. It accepts connections once Serve is called.
func New(config Config, handler Handler) *Server {
	return &Server{
		config:  config,
		handler: handler,
		meter:   unmetered{},
		budget:  budget{available: config.MaxBody},
		conns:   make(map[*conn]struct{}),
		ids:     newRequestIDs(config.IDRetention),
	}
}

// SetMeter sets the Meter that counts the results of requests. It must be called before Serve.
func (s *Server) SetMeter(meter Meter) { s.meter = meter }

// SetLimits replaces the limits. They apply to later connections and bodies; Trim closes connections beyond
// the new limit.
func (s *Server) SetLimits(config Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.release(config.MaxBody - s.config.MaxBody)
	s.config = config
	s.ids.setRetention(config.IDRetention)
}

// SetHealth sets a header line of health responses, in place of the one set before.
func (s *Server) SetHealth(name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health = name + ": " + value + "\r\n"
}

// SetHealthFunc adds a header line to health responses; value is called for each response.
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
	for _, headerLine := range funcs {
		header += headerLine()
	}
	return header
}

// Serve accepts connections until the listener is closed, and returns its error.
func (s *Server) Serve(listener net.Listener) error {
	for {
		netConn, err := netconn.Accept("clients", listener.Accept, s.acceptFailed)
		if err != nil {
			return err
		}
		s.add(netConn)
	}
}

// acceptFailed evicts a connection if an accept failed because no file descriptor was left. The new
// connection stays in the accept queue until the next accept.
func (s *Server) acceptFailed(err error) {
	if netconn.IsTableFull(err) {
		s.evict()
	}
}

// rejectionReserve returns how many of the connections below the limit are reserved for clients whose
// request is rejected with a response. At the limit, new connections are closed without a response.
func rejectionReserve(limit int) int { return limit / 8 }

// add registers an accepted connection and starts its goroutine. If the limit is reached and no other
// connection can be evicted, it closes the new connection.
func (s *Server) add(netConn net.Conn) {
	now := time.Now()
	c := &conn{server: s, netConn: netConn, accepted: now, stateSince: now}
	c.answered.L = &s.mu
	s.mu.Lock()
	n, limit := len(s.conns), s.config.MaxConns
	s.mu.Unlock()
	crowded := n >= limit-rejectionReserve(limit) && !s.evict()
	if crowded && n >= limit {
		slog.Warn("connection closed without a response: connection limit reached", "conns", n)
		netConn.Close()
		return
	}
	netConn.SetReadDeadline(now.Add(firstRequestTimeout))
	c.input = netconn.NewLazyReader(netConn)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go c.serve(crowded)
}

// Drain begins a graceful shutdown: idle connections are closed now, the others after their next
// response. New connections are still accepted. With keepIdle, idle connections stay open until
// CloseIdle is called, because closing one may race with its client's next request.
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
// shutdown.MaxIdleConnection of their accept. If they stayed open, a first request could arrive just
// before the process exits.
func (s *Server) CloseSilent() {
	s.closeQuiet(stateNew, shutdown.MaxIdleConnection)
}

// CloseUnfinished ends the connections on which only a part of a request has arrived. Their clients
// get an error. It is called when there is no time left to answer such a request. A request that has
// been read completely is still answered.
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
// returns them. It skips connections with unread input. The server's lock is held. A connection's
// goroutine needs the lock to begin a request, so either the request begins or the close does.
func (s *Server) markClosed(state connState, minDuration time.Duration) (closed []*conn) {
	for c := range s.conns {
		if c.state == state && time.Since(c.stateSince) >= minDuration && c.input.Quiet() {
			c.setState(stateClosed)
			closed = append(closed, c)
		}
	}
	return closed
}

// Active returns the number of requests whose response has not been written completely.
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

// Busy returns the number of connections that a shutdown waits for: those with a request, those so new
// that a request may be about to arrive, and those being closed.
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

// Conns returns the number of open client connections.
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
	return s.config.MaxBody - s.budget.available, s.config.MaxBody
}
