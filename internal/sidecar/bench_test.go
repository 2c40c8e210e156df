package sidecar

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"martendrum/internal/standin/tcp"
)

// BenchmarkHotPath sends small requests through the sidecar one after the other on one
// connection, on as many cores as -cpu sets. The time of the client and the server, which do
// as little as possible, is part of the result.
func BenchmarkHotPath(b *testing.B) {
	server := tcp.Serve(b, func(_ int, c net.Conn) {
		buf := make([]byte, 8<<10)
		for {
			n := 0
			for !bytes.HasSuffix(buf[:n], []byte("\r\n\r\n")) {
				m, err := c.Read(buf[n:])
				if n += m; err != nil {
					return
				}
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nSrv-Load: inflight=1\r\n\r\nyes")
		}
	})
	_, _, at := start(b, server)
	c, err := net.Dial("tcp", at)
	if err != nil {
		b.Fatalf("connecting to the sidecar: %v", err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Minute))
	br := bufio.NewReader(c)
	request := make([]byte, 0, 512)
	id := 0
	b.ReportAllocs()
	for b.Loop() {
		id++
		request = append(request[:0], "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: r"...)
		request = strconv.AppendInt(request, int64(id), 10)
		request = append(request, "\r\nReq-Kind: pay\r\nReq-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"...)
		if _, err := c.Write(request); err != nil {
			b.Fatalf("writing request %d: %v", id, err)
		}
		if err := readOK(br); err != nil {
			b.Fatalf("request %d: %v", id, err)
		}
	}
}

// readOK reads a response, which must have status 200 and a body of three bytes.
func readOK(br *bufio.Reader) error {
	line, err := br.ReadSlice('\n')
	if err != nil || !bytes.HasPrefix(line, []byte("HTTP/1.1 200")) {
		return fmt.Errorf("got status line %q, want status 200 (read error: %w)", line, err)
	}
	for len(line) > 2 {
		if line, err = br.ReadSlice('\n'); err != nil {
			return err
		}
	}
	_, err = br.Discard(3)
	return err
}
