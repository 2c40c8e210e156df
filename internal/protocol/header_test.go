package protocol

import (
	"net/textproto"
	"testing"
)

// Names index an http.Header directly, so each must be in canonical form.
func TestNamesAreCanonical(t *testing.T) {
	for _, name := range []string{
		RequestID, RequestClass, RequestDeadline, RequestTenant, IdempotencyKey,
		ServerLoad, ServerRejected, RetryAfter, RecordState,
	} {
		if canonical := textproto.CanonicalMIMEHeaderKey(name); canonical != name {
			t.Errorf("%q, canonical %q", name, canonical)
		}
	}
}
