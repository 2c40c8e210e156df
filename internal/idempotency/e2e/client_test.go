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

// clientRequest is a request that a client sends. If id is empty, sendRequest assigns a request
// ID. A request of class activate without a body is sent with an activation that contains the key.
type clientRequest struct {
	class, key, id, body string
	deadline             time.Duration // sent as Req-Deadline-Ms; 0: not sent
}

// bytes returns the request in HTTP/1.1. The key is in the Idempotency-Key header (id-register),
// in the JSON body (activate) or in place of the request ID (report); status-check has no key.
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

// clientResponse is the response that a client receives.
type clientResponse struct {
	status      int    // 0: the connection failed or ended before the response was complete
	recordState string // the Record-State header
	retryAfter  string // the Retry-After header
	body        string
}

// lastID is the number of the last request ID that was generated.
var lastID atomic.Int64

// sendRequest sends a request to a sidecar on a new connection and waits for the response.
// sent, if not nil, is called once the request is written. A connection that fails or ends
// early, as when the sidecar is killed, is not an error: the response's status is then 0.
// sendRequest returns an error only if no response begins within testTimeout.
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
		if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
			return response, fmt.Errorf("%s request with key %q: no response within %v", request.class, request.key, testTimeout)
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
