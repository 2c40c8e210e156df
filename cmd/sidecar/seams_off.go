//go:build !seams

package main

import (
	"martendrum/internal/discovery"
	"martendrum/internal/downstream"
	"martendrum/internal/shutdown"
)

// A seam is a place where a build with the tag seams can break a rule on purpose, see seams_on.go. In
// this build, each seam returns its argument unchanged.

func seamHandler(handler downstream.Handler) downstream.Handler { return handler }

func seamListed(listed func(*discovery.List)) func(*discovery.List) { return listed }

func seamPlan(plan shutdown.Plan) shutdown.Plan { return plan }
