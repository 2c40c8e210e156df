//go:build !seams

package main

import (
	"martendrum/internal/discovery"
	"martendrum/internal/downstream"
	"martendrum/internal/shutdown"
)

// Only a build with the tag seams can break a rule on purpose: here each seam is what it
// gets.

func seamHandler(handler downstream.Handler) downstream.Handler { return handler }

func seamListed(listed func(*discovery.List)) func(*discovery.List) { return listed }

func seamPlan(plan shutdown.Plan) shutdown.Plan { return plan }
