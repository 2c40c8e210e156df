package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// binary is the path of the simulator's binary.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "simulator")
	if err == nil {
		binary = filepath.Join(dir, "simulator")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// runSimulator runs the simulator on the given input.
func runSimulator(t *testing.T, input string) (stdout, stderr string, code int) {
	t.Helper()
	cmd := exec.Command(binary)
	cmd.Stdin = strings.NewReader(input)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Run(); err != nil && cmd.ProcessState == nil {
		t.Fatalf("starting the simulator: %v", err)
	}
	return out.String(), errs.String(), cmd.ProcessState.ExitCode()
}

// instanceSettings are the settings of all instances of the tests.
const instanceSettings = `{"replicasOfMe":4,"zone":"z","registryMode":"subscribe","caps":{"attemptsCap":4,"mayCancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfterUs":1000000},` +
	`"classes":[{"name":"a","effect":"repeatable","promiseUs":100000,"hardLimitUs":400000,"worth":1},{"name":"b","effect":"by_key","dedupScope":"zone","repeatWindowUs":200000,"promiseUs":100000,"worth":2},{"name":"c","effect":"once","promiseUs":100000,"worth":3}],` +
	`"guarantees":{"askWithinUs":1000000,"coldFrom":0.2,"coldUs":1000000,"overloadFactor":3,"overloadForUs":1000000},"costs":{"waste":0.05}}`

// script returns a series of batches for the instances from 0 to n-1. It omits the events of instances for
// which keep returns false, as if these ran in another process.
func script(n int, keep func(instance int) bool) string {
	rng := rand.New(rand.NewPCG(5, 5))
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line(`{"t":"tick","tsUs":1000,"turn":1}`)
	line(`{"t":"ledger","list":0,"hosts":[{"health":"SERVING","powerHint":1,"server":"s1","az":"z"},{"health":"SERVING","powerHint":2,"server":"s2","az":"z"},{"health":"SERVING","powerHint":1,"server":"s3","az":"y"}]}`)
	for i := range n {
		if keep(i) {
			line(`{"t":"powerOn","sidecarId":"i/%d","entropy":%d,"env":%s}`, i, i+1, instanceSettings)
			line(`{"t":"backendsChanged","sidecarId":"i/%d","how":"stale_copy","serial":1,"list":0}`, i)
		}
	}
	line(`{"t":"end"}`)
	type openRequest struct {
		instance, id int
	}
	var unanswered []openRequest
	for turn := 2; turn < 300; turn++ {
		now := turn * 5000
		line(`{"t":"tick","tsUs":%d,"turn":%d}`, now, turn)
		for i := range n {
			for range 3 {
				c := rng.IntN(40)
				if keep(i) {
					line(`{"t":"wakeup","sidecarId":"i/%d","cookie":%d}`, i, c)
				}
			}
			class := string(rune('a' + rng.IntN(4)))
			if keep(i) {
				line(`{"t":"knock","sidecarId":"i/%d","id":"%016x","cls":"%s","clientDeadlineUs":%d}`, i, turn*100+i, class, now+300000)
			}
			if keep(i) && turn%10 == 0 { // the client disconnects at once, so that its attempt is cancelled
				line(`{"t":"timedOutClient","sidecarId":"i/%d","id":"%016x"}`, i, turn*100+i)
			}
			unanswered = append(unanswered, openRequest{i, turn*100 + i})
		}
		for len(unanswered) > 2*n {
			request, outcome := unanswered[0], []int{200, 429, 502, 521, 408, 520}[rng.IntN(6)]
			unanswered = unanswered[1:]
			if keep(request.instance) {
				line(`{"t":"finished","sidecarId":"i/%d","id":"%016x","copy":0,"noMore":%v,"ending":%d,"feedback":{"cpu_share":0.5}}`, request.instance, request.id, outcome == 200, outcome)
			}
		}
		line(`{"t":"end"}`)
	}
	return b.String()
}

// byInstance returns the actions in an output, sorted by instance and otherwise in their order.
func byInstance(out string) []string {
	var lines []string
	for line := range strings.Lines(out) {
		if !strings.HasPrefix(line, `{"t":"eor"`) {
			lines = append(lines, line)
		}
	}
	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(instanceOf(a), instanceOf(b)) })
	return lines
}

// instanceOf returns the ID of the instance in an action.
func instanceOf(line string) string {
	_, rest, _ := strings.Cut(line, `"sidecarId":"`)
	id, _, _ := strings.Cut(rest, `"`)
	return id
}

// One process with all instances gives the same actions as two processes with half of them each, and a
// second run gives the same actions again.
func TestOneProcessActsLikeSeveral(t *testing.T) {
	all := func(int) bool { return true }
	single, stderr, code := runSimulator(t, script(4, all))
	if code != 0 || stderr != "" {
		t.Fatalf("single process: got exit code %d and stderr %q, want 0 and none", code, stderr)
	}
	var split string
	for remainder := range 2 {
		out, _, code := runSimulator(t, script(4, func(i int) bool { return i%2 == remainder }))
		if code != 0 {
			t.Fatalf("process %d of 2: got exit code %d, want 0", remainder, code)
		}
		split += out
	}
	singleActions, splitActions := byInstance(single), byInstance(split)
	if !slices.Equal(singleActions, splitActions) {
		t.Errorf("one process gave %d actions and two gave %d, want the same actions", len(singleActions), len(splitActions))
	}
	for _, action := range []string{"route", "notNow", "dropRequest", "abortAttempt", "setTimer", "keepInformed"} {
		if !strings.Contains(single, `"t":"`+action+`"`) {
			t.Errorf("the script caused no action %s, want every kind", action)
		}
	}
	if again, _, _ := runSimulator(t, script(4, all)); again != single {
		t.Error("a second run with the same input gave other actions")
	}
}

// Invalid input ends the simulator with a single line on standard error that names the place, and without
// a reply to the batch.
func TestInvalidInput(t *testing.T) {
	const tick, end = `{"t":"tick","tsUs":1,"turn":7}` + "\n", `{"t":"end"}` + "\n"
	for _, test := range []struct{ name, input, want string }{
		{"not JSON", tick + "what\n" + end, "line 2"},
		{"unknown type", tick + `{"t":"hail","sidecarId":"i"}` + "\n" + end, "line 2"},
		{"unknown instance", tick + `{"t":"wakeup","sidecarId":"i","cookie":1}` + "\n" + end, `"i"`},
		{"unknown ledger", tick + `{"t":"powerOn","sidecarId":"i","entropy":1,"env":` + instanceSettings + "}\n" + `{"t":"backendsChanged","sidecarId":"i","how":"whole","list":5}` + "\n" + end, "ledger number 5"},
		{"incomplete batch", tick, "batch 7"},
		{"event outside a batch", end, "line 1"},
		{"bad settings", tick + `{"t":"powerOn","sidecarId":"i","entropy":1,"env":{}}` + "\n" + end, "classes must"},
	} {
		stdout, stderr, code := runSimulator(t, test.input)
		if code == 0 || strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, test.want) {
			t.Errorf("%s: got exit code %d and stderr %q, want a non-zero code and one line with %q", test.name, code, stderr, test.want)
		}
		if strings.Contains(stdout, "eor") {
			t.Errorf("%s: got the reply %q, want none", test.name, stdout)
		}
	}
	if out, stderr, code := runSimulator(t, tick+end); code != 0 || stderr != "" || out != `{"t":"eor","turn":7}`+"\n" {
		t.Errorf("empty batch: got exit code %d, stdout %q and stderr %q, want 0 and an empty reply", code, out, stderr)
	}
}

// A panic of the decision module is reported as an action and not returned as an error.
func TestPanicIsReported(t *testing.T) {
	a := &adapter{}
	if err := a.guard("i", func() error { panic("index out of range") }); err != nil {
		t.Fatalf("guard: %v", err)
	}
	if want := `{"t":"bailOut","sidecarId":"i","reasonText":"index out of range"}` + "\n"; string(a.reply.Bytes()) != want {
		t.Errorf("got reply %q, want %q", a.reply.Bytes(), want)
	}
}
