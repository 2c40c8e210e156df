package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"martendrum/internal/standin/tcp"
)

// startProgram builds and starts the sidecar with one server and the given limits, and returns its
// process id and its address. A test binary would count the memory of its tests too.
func startProgram(b *testing.B, server string, memoryMB, sockets int) (pid int, addr string) {
	b.Helper()
	dir := b.TempDir()
	bin := filepath.Join(dir, "sidecar")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		b.Fatalf("%v\n%s", err, out)
	}
	config, addr, _ := writeTestConfig(b, server, sockets,
		`"memory_mb":512`, fmt.Sprintf(`"memory_mb":%d`, memoryMB), `"mostHeld":100`, `"mostHeld":1000`)
	cmd := exec.Command(bin)
	cmd.Env = append(os.Environ(), "TMPDIR="+dir, "BALANCER_CONFIG="+config, "BALANCER_MGMT=", "BALANCER_LISTEN=", "BALANCER_DISCOVERY=")
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	eventually(b, "ready", func() bool {
		resp, err := http.Get("http://" + addr + "/_health")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return cmd.Process.Pid, addr
}

// processMemory returns a value of /proc/PID/status in MB.
func processMemory(b *testing.B, pid int, name string) float64 {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), name+":")
	var kB float64
	if _, err := fmt.Sscan(rest, &kB); err != nil {
		b.Fatal(err)
	}
	return kB / 1024
}

// BenchmarkLongAnswers transfers 100 answers of 32 MB at once through a sidecar that may
// have 32 MB, and reports the peak of its resident memory. Each answer arrives completely.
func BenchmarkLongAnswers(b *testing.B) {
	const size, clients = 32 << 20, 100
	server := startServer(b, func(w io.Writer) error {
		if _, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size); err != nil {
			return err
		}
		piece := make([]byte, 64<<10)
		for left := size; left > 0; left -= len(piece) {
			if _, err := w.Write(piece); err != nil {
				return err
			}
		}
		return nil
	})
	pid, addr := startProgram(b, server, 32, 512)
	rest := processMemory(b, pid, "VmRSS")
	id := 0
	for b.Loop() {
		var wait sync.WaitGroup
		for range clients {
			id++
			name := fmt.Sprint("long", id)
			wait.Go(func() {
				if n, err := fetch(addr, name); err != nil || n != size {
					b.Errorf("%d bytes of %d: %v", n, size, err)
				}
			})
		}
		wait.Wait()
	}
	b.ReportMetric(rest, "MB-at-rest")
	b.ReportMetric(processMemory(b, pid, "VmHWM"), "MB-peak")
	b.SetBytes(size * clients)
}

// BenchmarkIdleConnections reports the resident memory with 400 clients that have sent one
// request each and keep their connections open.
func BenchmarkIdleConnections(b *testing.B) {
	server := startServer(b, func(w io.Writer) error {
		_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes")
		return err
	})
	pid, addr := startProgram(b, server, 32, 1024)
	id := 0
	for b.Loop() {
		var open []net.Conn
		for range 400 {
			id++
			c, err := net.Dial("tcp", addr)
			if err != nil {
				b.Fatal(err)
			}
			c.SetDeadline(time.Now().Add(patience))
			fmt.Fprintf(c, "GET /look HTTP/1.1\r\nHost: a\r\nReq-Id: i%d\r\n\r\n", id)
			if _, err := c.Read(make([]byte, 512)); err != nil {
				b.Fatal(err)
			}
			open = append(open, c)
		}
		b.ReportMetric(processMemory(b, pid, "VmRSS"), "MB-with-400-idle")
		for _, c := range open {
			c.Close()
		}
	}
	b.ReportMetric(processMemory(b, pid, "VmHWM"), "MB-peak")
}

// startServer starts a server that writes each answer by give.
func startServer(b *testing.B, give func(io.Writer) error) string {
	b.Helper()
	return tcp.Requests(b, func(_, _ int, c net.Conn, _ *http.Request) bool { return give(c) == nil })
}

// fetch requests one answer and counts its bytes.
func fetch(addr, id string) (int64, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Minute))
	if _, err := fmt.Fprintf(c, "GET /look HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\n\r\n", id); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("answered %s", resp.Status)
	}
	return io.Copy(io.Discard, resp.Body)
}
