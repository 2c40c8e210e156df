package recorder

import (
	"bytes"
	"net/http"
)

// retainedHeaders are the names of the header fields of an answer that are stored: those
// that describe its body.
var retainedHeaders = []string{"Content-Type", "Content-Encoding", "Content-Language", "Etag", "Last-Modified", "Location"}

// maxHeaderBytes is the maximum size of the stored header fields of an answer. A field that
// would exceed it is omitted.
const maxHeaderBytes = 2 << 10

// encodeHeader returns the retained fields as the lines of an HTTP/1.1 header.
func encodeHeader(header http.Header) []byte {
	var encoded []byte
	for _, name := range retainedHeaders {
		for _, value := range header[name] {
			if line := name + ": " + value + "\r\n"; len(encoded)+len(line) <= maxHeaderBytes {
				encoded = append(encoded, line...)
			}
		}
	}
	return encoded
}

// decodeHeader parses the result of encodeHeader.
func decodeHeader(encoded []byte) http.Header {
	header := make(http.Header)
	for line := range bytes.SplitSeq(encoded, []byte("\r\n")) {
		if name, value, ok := bytes.Cut(line, []byte(": ")); ok {
			header.Add(string(name), string(value))
		}
	}
	return header
}
