package hollow

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"martendrum/internal/fleet/distribution"
)

// workerSubscribers is the maximum of subscribers in one worker.
const workerSubscribers = 1200

// workerHandle is a process of hollow subscribers.
type workerHandle struct {
	hosts    []Host
	config   string
	process  *process
	input    io.WriteCloser
	output   io.Closer
	requests *json.Encoder
	replies  *json.Decoder
}

// workers are all processes of hollow subscribers.
type workers struct {
	t        testing.TB
	hosts    []Host
	handles  []*workerHandle
	profiles string
}

// newWorkers configures the workers for a number of subscribers. They don't run yet.
func newWorkers(c *cluster, subscribers int, coalesce time.Duration) *workers {
	c.t.Helper()
	w := &workers{t: c.t, hosts: Layout(subscribers), profiles: c.profiles}
	serial := int64(len(c.relays) + 1)
	for n, hosts := range Divide(w.hosts, workerSubscribers) {
		config := WorkerConfig{Authority: c.folder, Serial: serial, Hosts: hosts, Relays: c.addresses(), Coalesce: coalesce}
		serial += int64(len(hosts))
		text, err := json.Marshal(config)
		c.must(err)
		handle := &workerHandle{hosts: hosts, config: c.path(fmt.Sprintf("worker-%02d.json", n))}
		c.must(os.WriteFile(handle.config, text, 0o600))
		w.handles = append(w.handles, handle)
	}
	c.t.Cleanup(func() { w.stop(syscall.SIGKILL) })
	return w
}

// launch starts the processes; their subscribers wait for begin.
func (w *workers) launch() {
	w.t.Helper()
	for _, handle := range w.handles {
		command := exec.Command(os.Args[0])
		command.Env = append(os.Environ(), processorsInterval, workerVariable+"="+handle.config, profileVariable+"="+w.profiles)
		input, err := command.StdinPipe()
		if err != nil {
			w.t.Fatal(err)
		}
		// A pipe of our own: Wait must not close it while a reply is read.
		output, outputEnd, err := os.Pipe()
		if err != nil {
			w.t.Fatal(err)
		}
		command.Stdout = outputEnd
		handle.process, err = startProcess(command, handle.config+".log")
		outputEnd.Close()
		if err != nil {
			w.t.Fatal(err)
		}
		handle.input, handle.output = input, output
		handle.requests, handle.replies = json.NewEncoder(input), json.NewDecoder(output)
	}
	w.call(Request{Command: Measure})
}

// begin starts all subscribers at once.
func (w *workers) begin() time.Time {
	w.t.Helper()
	began := time.Now()
	w.call(Request{Command: Start})
	return began
}

// stop ends the processes. With SIGTERM they end on their own, as their input does.
func (w *workers) stop(how syscall.Signal) {
	var all sync.WaitGroup
	for _, handle := range w.handles {
		if handle.process == nil {
			continue
		}
		all.Go(func() {
			handle.input.Close()
			if how == syscall.SIGKILL {
				handle.process.stop(syscall.SIGKILL)
				return
			}
			select {
			case <-handle.process.end:
			case <-time.After(maxStop):
				handle.process.stop(syscall.SIGKILL)
			}
		})
	}
	all.Wait()
	for _, handle := range w.handles {
		if handle.process != nil {
			handle.output.Close()
			handle.process = nil
		}
	}
}

// call sends a request to all workers concurrently, and returns their replies in order.
func (w *workers) call(request Request) []Reply {
	w.t.Helper()
	replies, failed := make([]Reply, len(w.handles)), make([]error, len(w.handles))
	var all sync.WaitGroup
	for n, handle := range w.handles {
		all.Go(func() {
			if failed[n] = handle.requests.Encode(request); failed[n] == nil {
				failed[n] = handle.replies.Decode(&replies[n])
			}
		})
	}
	all.Wait()
	for n, err := range failed {
		if err != nil {
			log, _ := os.ReadFile(w.handles[n].config + ".log")
			w.t.Fatalf("worker %d: %v: %s", n, err, log[max(0, len(log)-1000):])
		}
	}
	return replies
}

// usage returns the sum over all workers.
func (w *workers) usage() Usage {
	w.t.Helper()
	var sum Usage
	for _, reply := range w.call(Request{Command: Measure}) {
		sum = sum.plus(reply.Usage)
	}
	return sum
}

func (u Usage) plus(other Usage) Usage {
	return Usage{Processor: u.Processor + other.Processor, Read: u.Read + other.Read, Written: u.Written + other.Written,
		Resident: u.Resident + other.Resident, ResidentPeak: u.ResidentPeak + other.ResidentPeak, Descriptors: u.Descriptors + other.Descriptors}
}

// concerned returns how many subscribers are in a scope.
func (w *workers) concerned(scope distribution.Scope) int {
	count := 0
	for _, host := range w.hosts {
		if scope.Matches("", host.Name, host.Labels()) {
			count++
		}
	}
	return count
}

// accepted returns when subscribers accepted each change, in order.
func (w *workers) accepted(changes ...Change) [][]time.Time {
	w.t.Helper()
	times := make([][]time.Time, len(changes))
	for _, reply := range w.call(Request{Command: Collect, Changes: changes}) {
		for n, accepted := range reply.Accepted {
			times[n] = append(times[n], moments(accepted)...)
		}
	}
	for _, accepted := range times {
		slices.SortFunc(accepted, time.Time.Compare)
	}
	return times
}

// settled returns when subscribers first had the complete state, in order.
func (w *workers) settled() []time.Time {
	w.t.Helper()
	var times []time.Time
	for _, reply := range w.call(Request{Command: Collect}) {
		times = append(times, moments(reply.Settled)...)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

func moments(micros []int64) []time.Time {
	times := make([]time.Time, len(micros))
	for n, micro := range micros {
		times[n] = time.UnixMicro(micro)
	}
	return times
}
