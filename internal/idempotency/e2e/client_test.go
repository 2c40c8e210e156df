package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// clientRequest is a request of a client.
type clientRequest struct {
	class, key, id, body string
	deadline             time.Duration
}

// bytes is the request as HTTP/1.1.
func (r *clientRequest) bytes() []byte {
	body := r.body
	head := "POST /" + r.class + "/1 HTTP/1.1\r\nHost: shop\r\nReq-Owner: toko\r\n"
	switch r.class {
	case "id-register":
		head += "Idempotency-Key: " + r.key + "\r\n"
	case "activate":
		if body == "" {
			body = `{"sim":{"iccid":"` + r.key + `"}}`
		}
	case "status-check":
		return fmt.Appendf(nil, "GET /status-check/1 HTTP/1.1\r\nHost: shop\r\nReq-Id: %s\r\nReq-Kind: status-check\r\n\r\n", r.id)
	}
	id := r.id
	if r.class == "report" {
		id = r.key
	}
	if r.deadline > 0 {
		head += fmt.Sprintf("Req-Deadline-Ms: %d\r\n", r.deadline.Milliseconds())
	}
	return fmt.Appendf(nil, "%sReq-Id: %s\r\nReq-Kind: %s\r\nContent-Length: %d\r\n\r\n%s", head, id, r.class, len(body), body)
}

// clientResponse is what a client receives; status 0: the connection ended without a
// response.
type clientResponse struct {
	status      int
	recordState string // Record-State
	retryAfter  string
	body        string
}

// lastID numbers the requests that have no ID of their own.
var lastID atomic.Int64

// sendRequest sends a request to a sidecar, on a connection of its own. sent, where set,
// is called once the request is written.
func sendRequest(address string, request clientRequest, sent func()) (response clientResponse, err error) {
	if request.id == "" {
		request.id = fmt.Sprintf("r%d", lastID.Add(1))
	}
	connection, err := net.DialTimeout("tcp", address, testTimeout)
	if err != nil {
		return response, nil // the sidecar has been killed
	}
	defer connection.Close()
	connection.SetDeadline(time.Now().Add(testTimeout))
	if _, err := connection.Write(request.bytes()); err != nil {
		return response, nil
	}
	if sent != nil {
		sent()
	}
	received, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			return response, fmt.Errorf("%s %s: no answer within %v", request.class, request.key, testTimeout)
		}
		return response, nil
	}
	defer received.Body.Close()
	body, err := io.ReadAll(received.Body)
	if err != nil {
		return response, nil
	}
	return clientResponse{
		status:      received.StatusCode,
		recordState: received.Header.Get("Record-State"),
		retryAfter:  received.Header.Get("Retry-After"),
		body:        string(body),
	}, nil
}
