package main

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"
)

// TestMain lets the test's program be a sidecar, so that processes can hand over.
func TestMain(m *testing.M) {
	if os.Getenv("MARTENDRUM_TEST_CHILD") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// freeAddrs counts the addresses given out.
var freeAddrs atomic.Uint32

// freeAddr is an address at which nobody listens, each time on an IP of its own: one that
// is given out and not used yet is no other test's, and nobody's for a way out.
func freeAddr(t testing.TB) string {
	t.Helper()
	n := freeAddrs.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, n>>8&0xff, n&0xff))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// patience is how long a test waits for what must come.
const patience = 20 * time.Second

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(patience); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("it never came to: " + what)
		}
	}
}
