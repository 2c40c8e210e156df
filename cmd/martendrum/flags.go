package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"os/user"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/inventory"
)

// selectFlags defines the flags that select instances on a command, and returns the selection that
// they fill.
func selectFlags(c *cobra.Command) *inventory.Select {
	selection := &inventory.Select{}
	f := c.Flags()
	f.StringSliceVar(&selection.Hosts, "host", nil, "only on these hosts (* and ? fit any)")
	f.StringSliceVar(&selection.Labels, "label", nil, "only with one of these labels, KEY=VALUE")
	f.StringSliceVar(&selection.Instances, "instance", nil, "only these instances (* and ? fit any)")
	f.StringSliceVar(&selection.Releases, "release", nil, "only those that run or should run a release whose hash begins so")
	f.StringSliceVar(&selection.States, "state", nil, "only those in one of these states, desired or actual")
	return selection
}

// runFlags holds the flags of commands that run an operation.
type runFlags struct {
	ttl, giveUp time.Duration // as TTL and GiveUp of client.Options
}

// add defines the flags on a command.
func (r *runFlags) add(c *cobra.Command) {
	c.Flags().DurationVar(&r.ttl, "lease", 15*time.Second, "how long the instances stay ours if this command stalls")
	c.Flags().DurationVar(&r.giveUp, "give-up", 30*time.Second, "how long a silent agent, or a change that can't go on, is waited for")
}

// options returns the options of one run. The lease holder names the operator and this process, and
// is unique to the run.
func (r *runFlags) options(g *globalFlags) client.Options {
	return client.Options{
		LeaseHolder: fmt.Sprintf("%s pid %d %s", operatorName(), os.Getpid(), randomHex(4)),
		TTL:         r.ttl,
		GiveUp:      r.giveUp,
		Progress:    progress(g),
	}
}

// parseCount parses a number of at least 1, or a percentage of n. A percentage gives the number
// rounded down, and at least 1.
func parseCount(s string, n int) (int, error) {
	if text, ok := strings.CutSuffix(s, "%"); ok {
		percentage, err := strconv.ParseFloat(text, 64)
		if err != nil || !(percentage > 0 && percentage <= 100) {
			return 0, fmt.Errorf("%q is not a percentage above 0 and up to 100", s)
		}
		return max(1, int(float64(n)*percentage/100)), nil
	}
	count, err := strconv.Atoi(s)
	if err != nil || count < 1 {
		return 0, fmt.Errorf("%q is neither a number of 1 or more nor a percentage", s)
	}
	return count, nil
}

// randomHex returns n random bytes in hex.
func randomHex(n int) string {
	data := make([]byte, n)
	rand.Read(data)
	return hex.EncodeToString(data)
}

// operatorName returns the current user and the name of this machine, as USER@HOST.
func operatorName() string {
	name := "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	host, _ := os.Hostname()
	return name + "@" + host
}
