// Package compatibility says which two programs may run side by side, for the hours of
// a change in stages, and whether one may take the other's place and give it back.
// What a program speaks it tells itself, asked with the word `versions`; one from
// before that word speaks the first version of each. It is pure but for Ask.
package compatibility

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// Versions is what a sidecar's program speaks.
type Versions struct {
	Program string `json:"program"`
	// HandOver is the protocol between an old process and the new one; see package handover.
	HandOver int `json:"hand_over"`
	// Snapshot is the form of what the new one learns from the old; another is left out.
	Snapshot int `json:"snapshot"`
	// Record is the schema of the store of record that it reads and writes; 0: it has none.
	Record int `json:"record"`
	// Agent is what it and its agent say to each other: health call, door, environment.
	Agent int `json:"agent"`
}

// First is what a program speaks that does not tell.
var First = Versions{HandOver: 1, Snapshot: 1, Agent: 1}

// AgentOldest and AgentLatest are the versions of Versions.Agent that this build's
// agent speaks.
const (
	AgentOldest = 1
	AgentLatest = 1
)

// Use is how an instance runs.
type Use struct {
	HandOver    bool // upgrades start the new process beside the old one
	Record      bool // it has a store of record
	MayRollBack bool // the change may have to be taken back
}

// Check says why now may not take before's place, or stand beside it; nil if it may.
// A snapshot of another version is no reason: the new process starts without it.
func Check(before, now Versions, u Use) error {
	var why []error
	if before.Program != "" && now.Program != "" && before.Program != now.Program {
		why = append(why, fmt.Errorf("one program is %s, the other %s", before.Program, now.Program))
	}
	if now.Agent < AgentOldest || now.Agent > AgentLatest {
		why = append(why, fmt.Errorf("it speaks version %d with its agent, which speaks %d to %d: upgrade the agent first", now.Agent, AgentOldest, AgentLatest))
	}
	if u.HandOver && before.HandOver != now.HandOver {
		why = append(why, fmt.Errorf("they speak versions %d and %d of the hand-over: with hand_over = false in the agent's file each process is stopped before the new one starts", before.HandOver, now.HandOver))
	}
	if u.Record {
		switch {
		case now.Record == 0:
			why = append(why, errors.New("it is a build without a store of record, and the instance has one: build it with -tags record"))
		case now.Record < before.Record:
			why = append(why, fmt.Errorf("it reads the record's schema %d, and that is at %d", now.Record, before.Record))
		case now.Record > before.Record && before.Record > 0 && u.MayRollBack:
			why = append(why, fmt.Errorf("it brings the record's schema from %d to %d, which the old program can't read: such a change can't be taken back, so it goes with --on-worse stop", before.Record, now.Record))
		}
	}
	return errors.Join(why...)
}

// The sidecar's name in Versions.Program, and the one that builds from before its
// renaming tell: the two are the same program.
const (
	currentName = "sidecar"
	formerName  = "fawnrock"
)

// queryTimeout is how long a program may take to tell.
const queryTimeout = time.Second

// outputTimeout is how long after its end what it started may keep its output open.
const outputTimeout = 100 * time.Millisecond

// Query asks a program. One that does not tell, for whatever reason, is First. All that
// it started is ended.
func Query(ctx context.Context, path string) Versions {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, path, "versions")
	cmd.Env = []string{} // no configuration: a program without the word ends at once
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.WaitDelay = outputTimeout
	out, err := cmd.Output()
	if cmd.Process != nil {
		syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
	}
	var v Versions
	if err != nil || json.NewDecoder(strings.NewReader(string(out[:min(len(out), 4096)]))).Decode(&v) != nil || v.Program == "" {
		return First
	}
	if v.Program == formerName {
		v.Program = currentName
	}
	return v
}
