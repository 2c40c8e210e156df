package protocol

import (
	"net/textproto"
	"testing"
)

// The names index an http.Header directly, so each must be in canonical form.
func TestNamesAreCanonical(t *testing.T) {
	for _, name := range []string{
		RequestID, RequestClass, RequestDeadline, RequestTenant, IdempotencyKey,
		ServerLoad, ServerRejected, RetryAfter, RecordState,
	} {
		if canonical := textproto.CanonicalMIMEHeaderKey(name); canonical != name {
			t.Errorf("name %q is not canonical, want %q", name, canonical)
		}
	}
}
