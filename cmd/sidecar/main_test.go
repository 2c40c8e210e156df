package main

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"
)

// TestMain lets the test binary run as a sidecar, so that a test can start several processes.
func TestMain(m *testing.M) {
	if os.Getenv("MARTENDRUM_TEST_CHILD") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// freeAddrs counts the addresses given out.
var freeAddrs atomic.Uint32

// freeAddr returns an address at which no process listens. Each has an IP address of its own, so
// that no other test's listener or outgoing connection can get its port before it is used.
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

// patience is how long a test waits for an expected event.
const patience = 20 * time.Second

// eventually waits until ok returns true.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(patience); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("waited in vain for " + what)
		}
	}
}
