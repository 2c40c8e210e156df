// Command driver-2 plays the cases of the second review: it starts the project's programs as processes,
// and is their clients, servers and discovery. It is run by review/N/run.sh from the root of the
// repository: driver-2 CASE FOLDER. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name: those that have a folder, and further ones that the report names.
var cases = map[string]func(r *rig){
	"discovery-forgotten": discoveryForgotten,
	"upgrade-stale":       upgradeStale,
	"answer-in-pieces":    answerInPieces,
	"two-writers":         twoWriters,
	"sent-and-refused":    sentAndRefused,
	"crash-rollback":      crashRollback,

	"removal-lost":  removalLost,
	"gone-client":   goneClient,
	"client-leaves": clientLeaves,
}

func main() {
	signal.Ignore(syscall.SIGHUP)
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[2], cases[os.Args[1]]))
}

// longestRun is the time after which a case that has not ended counts as one that could not run.
const longestRun = 112 * time.Second

// endEarly ends the case, and all that it started, at a signal or after longestRun.
func (r *rig) endEarly() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case <-interrupted:
	case <-time.After(longestRun):
	}
	r.note("the case could not run: it was interrupted")
	fmt.Println("the case could not run: it was interrupted")
	r.close()
	os.Exit(2)
}

// play runs a case and returns the exit status.
func play(folder string, run func(r *rig)) (status int) {
	r, err := newRig(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	defer r.record.Close()
	defer r.close()
	go r.endEarly()
	defer func() {
		switch p := recover().(type) {
		case nil:
		case cannotRun:
			r.note("the case could not run: %s", string(p))
			fmt.Println("the case could not run:", string(p))
			status = 2
			return
		default:
			panic(p)
		}
		if len(r.broken) > 0 {
			fmt.Printf("the rule was broken %d times; first: %s\n", len(r.broken), r.broken[0])
			status = 1
			return
		}
		r.note("the rule held")
		fmt.Println("the rule held")
	}()
	run(r)
	return 0
}
