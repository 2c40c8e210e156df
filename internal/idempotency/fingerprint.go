package idempotency

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
)

// Fingerprint returns a hash that distinguishes different requests with the same key: the
// SHA-256 of the request line, the tenant and the body, each preceded by its length. head
// is the HTTP/1.1 request line and header.
func Fingerprint(head []byte, tenant string, body []byte) []byte {
	requestLine, _, _ := bytes.Cut(head, []byte("\r\n"))
	hash := sha256.New()
	for _, part := range [][]byte{requestLine, []byte(tenant), body} {
		hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		hash.Write(part)
	}
	return hash.Sum(nil)
}
