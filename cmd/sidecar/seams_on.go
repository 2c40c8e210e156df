//go:build seams

package main

import (
	"os"
	"slices"
	"strings"
	"time"

	"martendrum"
	"martendrum/internal/discovery"
	"martendrum/internal/downstream"
	"martendrum/internal/shutdown"
)

// Names of seams. A seam is a place where a build with the tag seams can break a rule on purpose.
// It breaks the rules that MARTENDRUM_SEAMS lists, to show that the process tests detect it.
// Releases are built without the tag.
const (
	seamDelayShutdown   = "late-stop"    // plan a shutdown as if the deadlines were longer
	seamIgnoreDrain     = "deaf-drain"   // keep draining and removed servers on the list
	seamIgnoreDeadlines = "no-deadlines" // ignore the deadlines that clients send
)

// shutdownDelay is how much later a shutdown is planned to end under seamDelayShutdown.
const shutdownDelay = time.Hour

// isSeamOn reports whether the comma-separated list in MARTENDRUM_SEAMS contains name.
func isSeamOn(name string) bool {
	return slices.Contains(strings.Split(os.Getenv("MARTENDRUM_SEAMS"), ","), name)
}

// seamListed returns the callback for lists of servers. If seamIgnoreDrain is on, the callback drops
// entries that are not serving and treats each list as incomplete, so that removed servers stay.
func seamListed(listed func(*discovery.List)) func(*discovery.List) {
	if !isSeamOn(seamIgnoreDrain) {
		return listed
	}
	return func(list *discovery.List) {
		list.Entries = slices.DeleteFunc(list.Entries, func(e discovery.Entry) bool { return e.State != martendrum.Serving })
		list.Complete = false
		listed(list)
	}
}

// seamPlan returns the plan of a shutdown, delayed if seamDelayShutdown is on.
func seamPlan(plan shutdown.Plan) shutdown.Plan {
	if isSeamOn(seamDelayShutdown) {
		plan.AnswerAll, plan.End = plan.AnswerAll+shutdownDelay, plan.End+shutdownDelay
	}
	return plan
}

// deadlineIgnorer is a handler that ignores the deadlines of clients.
type deadlineIgnorer struct{ downstream.Handler }

// Arrive implements downstream.Handler. It removes the deadline from the request.
func (d deadlineIgnorer) Arrive(exchange *downstream.Exchange) {
	exchange.Wait = 0
	d.Handler.Arrive(exchange)
}

// seamHandler returns the handler of clients' requests, which ignores their deadlines if
// seamIgnoreDeadlines is on.
func seamHandler(handler downstream.Handler) downstream.Handler {
	if isSeamOn(seamIgnoreDeadlines) {
		return deadlineIgnorer{handler}
	}
	return handler
}
