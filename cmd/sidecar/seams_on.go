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

// A build with the tag seams breaks the rules that MARTENDRUM_SEAMS names, so that a test
// of whole processes can be seen to notice it. No release is built so.
const (
	seamLateStop    = "late-stop"    // a stop is planned as if the deadlines were longer
	seamDeafToDrain = "deaf-drain"   // servers that drain or have gone stay on the list
	seamDeadlines   = "no-deadlines" // what clients say of how long they wait is not heeded
)

// lateStop is by how much later seamLateStop plans a process's end.
const lateStop = time.Hour

func seam(name string) bool {
	return slices.Contains(strings.Split(os.Getenv("MARTENDRUM_SEAMS"), ","), name)
}

// seamListed returns what takes lists of servers.
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

// seamPlan returns when a stop does what.
func seamPlan(plan shutdown.Plan) shutdown.Plan {
	if seam(seamLateStop) {
		plan.AnswerAll, plan.End = plan.AnswerAll+lateStop, plan.End+lateStop
	}
	return plan
}

// deafHandler does not heed how long clients wait.
type deafHandler struct{ downstream.Handler }

// Arrive implements downstream.Handler.
func (d deafHandler) Arrive(x *downstream.Exchange) {
	x.Wait = 0
	d.Handler.Arrive(x)
}

// seamHandler returns the handler of the clients' requests.
func seamHandler(handler downstream.Handler) downstream.Handler {
	if seam(seamDeadlines) {
		return deafHandler{handler}
	}
	return handler
}
