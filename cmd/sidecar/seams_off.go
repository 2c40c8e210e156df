//go:build !seams

package main

import (
	"time"

	"martendrum/internal/discovery"
	"martendrum/internal/front"
)

// Only a build with the tag seams can break a rule on purpose: here each seam is what it
// gets.

func seamHandler(handler front.Handler) front.Handler { return handler }

func seamListed(listed func(*discovery.List)) func(*discovery.List) { return listed }

func seamStopLimit(limit time.Duration) time.Duration { return limit }
