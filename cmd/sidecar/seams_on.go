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

// A build with the tag seams breaks the rules that MARTENDRUM_SEAMS names, to show that the process
// tests detect it. Releases are built without the tag.
const (
	seamDelayedShutdown = "late-stop"    // a shutdown is planned as if the deadlines were longer
	seamDeafToDrain     = "deaf-drain"   // draining and removed servers stay on the list
	seamDeadlines       = "no-deadlines" // the deadlines that clients state are ignored
)

// shutdownDelay is by how much seamDelayedShutdown delays the planned end of the process.
const shutdownDelay = time.Hour

// seam reports whether MARTENDRUM_SEAMS contains a name.
func seam(name string) bool {
	return slices.Contains(strings.Split(os.Getenv("MARTENDRUM_SEAMS"), ","), name)
}

// seamListed returns the callback for lists of servers, without draining entries if the seam is on.
func seamListed(listed func(*discovery.List)) func(*discovery.List) {
	if !seam(seamDeafToDrain) {
		return listed
	}
	return func(list *discovery.List) {
		list.Entries = slices.DeleteFunc(list.Entries, func(e discovery.Entry) bool { return e.State != martendrum.Serving })
		list.Complete = false
		listed(list)
	}
}

// seamPlan returns the plan of a shutdown, delayed if the seam is on.
func seamPlan(plan shutdown.Plan) shutdown.Plan {
	if seam(seamDelayedShutdown) {
		plan.AnswerAll, plan.End = plan.AnswerAll+shutdownDelay, plan.End+shutdownDelay
	}
	return plan
}

// deafHandler ignores the deadlines of clients.
type deafHandler struct{ downstream.Handler }

// Arrive implements downstream.Handler.
func (d deafHandler) Arrive(x *downstream.Exchange) {
	x.Wait = 0
	d.Handler.Arrive(x)
}

// seamHandler returns the handler of clients' requests, without their deadlines if the seam is on.
func seamHandler(handler downstream.Handler) downstream.Handler {
	if seam(seamDeadlines) {
		return deafHandler{handler}
	}
	return handler
}
