//go:build !seams

package main

import (
	"martendrum/internal/discovery"
	"martendrum/internal/front"
	"martendrum/internal/stopplan"
)

// Only a build with the tag seams can break a rule on purpose: here each seam is what it
// gets.

func seamHandler(handler front.Handler) front.Handler { return handler }

func seamListed(listed func(*discovery.List)) func(*discovery.List) { return listed }

func seamPlan(plan stopplan.Plan) stopplan.Plan { return plan }
