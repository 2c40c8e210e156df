// Command sidecar is a proxy that balances the HTTP requests of one application over the servers
// that discovery lists. It is configured by the file that the environment variable BALANCER_CONFIG
// names, reads that file again on SIGHUP, and runs until SIGTERM. With the argument versions it
// prints the versions of its protocols and exits.
//
// This package loads the configuration, handles signals and connects the parts of the process; the
// balancing is in internal/sidecar and below.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"martendrum/internal/handover"
	"martendrum/internal/ratelimitlog"
)

// agentVersion is the version of the interface between this program and the agent that starts and
// supervises it: the header fields of health responses, the metrics of the admin endpoint, and the
// environment variables that are read at the start.
const agentVersion = 1

// signalChannels deliver the signals that a running sidecar handles.
type signalChannels struct {
	terminate <-chan time.Time // time at which SIGTERM or an interrupt arrived: stop
	reload    <-chan os.Signal // SIGHUP: read the configuration file again
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "versions" {
		printVersions()
		return
	}
	slog.SetDefault(ratelimitlog.New(os.Stderr, slog.LevelInfo))
	signals := notifySignals()
	c, err := loadConfig(os.Getenv)
	if err == nil {
		err = start(c, signals)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
}

// notifySignals subscribes to the signals that a sidecar handles. The time of the first SIGTERM or
// interrupt is recorded on its arrival, because the supervisor kills the process after a timeout that
// counts from then. The goroutine that receives the signal lives as long as the process.
func notifySignals() signalChannels {
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP)
	terminate := make(chan time.Time, 1)
	go func() {
		<-stop
		terminate <- time.Now()
	}()
	return signalChannels{terminate: terminate, reload: reload}
}

// printVersions prints the versions of the protocols that this program speaks. An agent reads them
// before it runs this program side by side with another version of it. The fields are those of
// internal/fleet/host/compatibility, which this program does not link.
func printVersions() {
	fmt.Printf("{\"program\": \"sidecar\", \"hand_over\": %d, \"snapshot\": %d, \"record\": %d, \"agent\": %d}\n",
		handover.Version, handover.SnapshotVersion, recordVersion(), agentVersion)
}
