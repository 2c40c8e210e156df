package idempotency

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
)

// Fingerprint distinguishes requests that have the same key: it is the SHA-256 of the
// request line, the tenant and the body, each with its length.
func Fingerprint(head []byte, tenant string, body []byte) []byte {
	requestLine, _, _ := bytes.Cut(head, []byte("\r\n"))
	hash := sha256.New()
	for _, part := range [][]byte{requestLine, []byte(tenant), body} {
		hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		hash.Write(part)
	}
	return hash.Sum(nil)
}
