package recorder

import (
	"bytes"
	"net/http"
)

// retainedHeaders are the fields of an answer that are stored: those that describe its
// body.
var retainedHeaders = []string{"Content-Type", "Content-Encoding", "Content-Language", "Etag", "Last-Modified", "Location"}

// maxHeaderBytes bounds the stored fields; those past it are omitted.
const maxHeaderBytes = 2 << 10

// encodeHeader writes the retained fields as HTTP/1.1 does.
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

func decodeHeader(encoded []byte) http.Header {
	header := make(http.Header)
	for line := range bytes.SplitSeq(encoded, []byte("\r\n")) {
		if name, value, ok := bytes.Cut(line, []byte(": ")); ok {
			header.Add(string(name), string(value))
		}
	}
	return header
}
