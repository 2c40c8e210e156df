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

// workerSubscribers is the maximum number of subscribers in one worker process.
const workerSubscribers = 1200

// workerHandle is a worker process with the pipes over which the test sends it requests and reads its
// replies.
type workerHandle struct {
	hosts    []Host
	config   string   // path of its WorkerConfig
	process  *process // nil: not running
	input    io.WriteCloser
	output   io.Closer
	requests *json.Encoder
	replies  *json.Decoder
}

// workers are the worker processes of one cluster.
type workers struct {
	t        testing.TB
	hosts    []Host
	handles  []*workerHandle
	profiles string // folder for profiles; "": no profiles
}

// newWorkers configures the workers for a number of subscribers; startProcesses starts them. They
// end with the test.
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

// startProcesses starts the worker processes and waits until all of them answer requests;
// startSubscribers starts their subscribers.
func (w *workers) startProcesses() {
	w.t.Helper()
	for _, handle := range w.handles {
		command := exec.Command(os.Args[0])
		command.Env = append(os.Environ(), processorLimit, workerVariable+"="+handle.config, profileVariable+"="+w.profiles)
		input, err := command.StdinPipe()
		if err != nil {
			w.t.Fatalf("create the input of a worker: %v", err)
		}
		// Not StdoutPipe: Wait would close that pipe while a reply is still being read.
		output, outputWriter, err := os.Pipe()
		if err != nil {
			w.t.Fatalf("create the output of a worker: %v", err)
		}
		command.Stdout = outputWriter
		handle.process, err = startProcess(command, handle.config+".log")
		outputWriter.Close()
		if err != nil {
			w.t.Fatalf("start a worker: %v", err)
		}
		handle.input, handle.output = input, output
		handle.requests, handle.replies = json.NewEncoder(input), json.NewDecoder(output)
	}
	w.call(Request{Command: Measure})
}

// startSubscribers starts all subscribers at once, and returns when it began to do so.
func (w *workers) startSubscribers() time.Time {
	w.t.Helper()
	began := time.Now()
	w.call(Request{Command: Start})
	return began
}

// stop ends the processes. With SIGKILL it kills them; with any other signal it only closes their
// input, at which they end on their own, and kills those that still run after stopTimeout.
func (w *workers) stop(signal syscall.Signal) {
	var group sync.WaitGroup
	for _, handle := range w.handles {
		if handle.process == nil {
			continue
		}
		group.Go(func() {
			handle.input.Close()
			if signal == syscall.SIGKILL {
				handle.process.stop(syscall.SIGKILL)
				return
			}
			select {
			case <-handle.process.end:
			case <-time.After(stopTimeout):
				handle.process.stop(syscall.SIGKILL)
			}
		})
	}
	group.Wait()
	for _, handle := range w.handles {
		if handle.process != nil {
			handle.output.Close()
			handle.process = nil
		}
	}
}

// call sends a request to all workers concurrently, and returns their replies in the order of the
// workers.
func (w *workers) call(request Request) []Reply {
	w.t.Helper()
	replies, errs := make([]Reply, len(w.handles)), make([]error, len(w.handles))
	var group sync.WaitGroup
	for n, handle := range w.handles {
		group.Go(func() {
			if errs[n] = handle.requests.Encode(request); errs[n] == nil {
				errs[n] = handle.replies.Decode(&replies[n])
			}
		})
	}
	group.Wait()
	for n, err := range errs {
		if err != nil {
			log, _ := os.ReadFile(w.handles[n].config + ".log")
			w.t.Fatalf("request to worker %d failed: %v; end of its log: %s", n, err, log[max(0, len(log)-1000):])
		}
	}
	return replies
}

// usage returns the sum of the usages of all workers.
func (w *workers) usage() Usage {
	w.t.Helper()
	var sum Usage
	for _, reply := range w.call(Request{Command: Measure}) {
		sum = sum.plus(reply.Usage)
	}
	return sum
}

// plus returns the sum of two usages.
func (u Usage) plus(other Usage) Usage {
	return Usage{Processor: u.Processor + other.Processor, Read: u.Read + other.Read, Written: u.Written + other.Written,
		Resident: u.Resident + other.Resident, ResidentPeak: u.ResidentPeak + other.ResidentPeak, Descriptors: u.Descriptors + other.Descriptors}
}

// countInScope returns how many subscribers are in a scope.
func (w *workers) countInScope(scope distribution.Scope) int {
	count := 0
	for _, host := range w.hosts {
		if scope.Matches("", host.Name, host.Labels()) {
			count++
		}
	}
	return count
}

// accepted returns for each change the times at which subscribers accepted it, sorted.
func (w *workers) accepted(changes ...Change) [][]time.Time {
	w.t.Helper()
	times := make([][]time.Time, len(changes))
	for _, reply := range w.call(Request{Command: Collect, Changes: changes}) {
		for n, accepted := range reply.Accepted {
			times[n] = append(times[n], microTimes(accepted)...)
		}
	}
	for _, accepted := range times {
		slices.SortFunc(accepted, time.Time.Compare)
	}
	return times
}

// settled returns the times at which subscribers first had all settings in force, sorted.
func (w *workers) settled() []time.Time {
	w.t.Helper()
	var times []time.Time
	for _, reply := range w.call(Request{Command: Collect}) {
		times = append(times, microTimes(reply.Settled)...)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// microTimes converts Unix times in microseconds.
func microTimes(micros []int64) []time.Time {
	times := make([]time.Time, len(micros))
	for n, micro := range micros {
		times[n] = time.UnixMicro(micro)
	}
	return times
}
