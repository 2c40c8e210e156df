package distribution

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// Bounds of one resource.
const (
	MaxContent     = 64 << 10 // bytes
	maxLabels      = 16
	maxLabelBytes  = 128  // bytes of a label's key or value
	maxAuthorBytes = 200  // bytes
	maxYear        = 9999 // the last year that JSON can represent
)

// nameRequirement describes namePattern.
const nameRequirement = "want 1 to 128 letters, digits, '.', '_', '/' or '-', beginning with a letter or a digit"

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]{0,127}$`)
	// instanceKeys are settings that differ between instances and can't be distributed.
	instanceKeys = []string{"listen", "name", "seed"}
)

// Resource is a named piece of settings: an overlay for the configuration of the instances
// in its scope, as a JSON merge patch (RFC 7396).
type Resource struct {
	Name     string    `msgpack:"name" json:"name"`
	Scope    Scope     `msgpack:"scope" json:"scope"`
	Content  []byte    `msgpack:"content,omitempty" json:"content,omitempty"` // a JSON object
	Removed  bool      `msgpack:"removed,omitempty" json:"removed,omitempty"` // a removed resource has no content
	Revision Revision  `msgpack:"revision" json:"revision"`                   // of the resource's latest change
	Hash     string    `msgpack:"hash" json:"hash"`                           // SHA-256 of name, scope, Removed and content
	Author   string    `msgpack:"author,omitempty" json:"author,omitempty"`
	At       time.Time `msgpack:"at" json:"at"`
}

// Scope selects the instances that have all of its labels and run on one of the hosts in its
// fraction.
type Scope struct {
	Labels map[string]string `msgpack:"labels,omitempty" json:"labels,omitempty"`
	// Fraction is the fraction of all hosts, above 0 and up to 1, drawn by a hash of the
	// resource's and the host's name. A larger fraction contains all hosts of a smaller one.
	Fraction float64 `msgpack:"share,omitempty" json:"share,omitempty"` // 0 means 1
}

// Interest selects the resources that a subscriber receives.
type Interest struct {
	Host string `msgpack:"host"`
	// Instances holds the labels of each instance of the host, including the host's own.
	Instances List[map[string]string] `msgpack:"instances"`
}

// Bounds of an interest.
const (
	maxInterestInstances = 256
	maxInterestBytes     = 32 << 10 // of all labels
)

// Check returns an *InvalidError if the host's name is missing or a bound is exceeded.
func (i Interest) Check() error {
	invalid := func(reason string) error {
		return &InvalidError{What: "interest", Name: i.Host, Reason: reason}
	}
	if i.Host == "" || len(i.Host) > maxLabelBytes {
		return invalid(fmt.Sprintf("want a host name of 1 to %d bytes", maxLabelBytes))
	}
	if len(i.Instances) > maxInterestInstances {
		return invalid(fmt.Sprintf("%d instances; at most %d are allowed", len(i.Instances), maxInterestInstances))
	}
	bytes := 0
	for _, labels := range i.Instances {
		for key, value := range labels {
			bytes += len(key) + len(value)
		}
	}
	if bytes > maxInterestBytes {
		return invalid(fmt.Sprintf("%d bytes of labels; at most %d are allowed", bytes, maxInterestBytes))
	}
	return nil
}

// Matches reports whether the scope of the named resource selects an instance with these labels on
// the given host.
func (s Scope) Matches(resource, host string, labels map[string]string) bool {
	for key, value := range s.Labels {
		if have, ok := labels[key]; !ok || have != value {
			return false
		}
	}
	return s.includesHost(resource, host)
}

// includesHost reports whether the host is in the scope's fraction.
func (s Scope) includesHost(resource, host string) bool {
	if s.Fraction == 0 || s.Fraction == 1 {
		return true
	}
	drawn := float64(xxhash.Sum64String(resource+"\x00"+host)) / math.MaxUint64
	return drawn < s.Fraction
}

// Includes reports whether the scope of the named resource selects one of the interest's instances.
func (i Interest) Includes(resource string, scope Scope) bool {
	return slices.ContainsFunc(i.Instances, func(labels map[string]string) bool {
		return scope.Matches(resource, i.Host, labels)
	})
}

// hashOf computes the value for a resource's field Hash, in hexadecimal.
func hashOf(r *Resource) string {
	// The encoding is deterministic, because JSON orders a map by its keys.
	scope, _ := json.Marshal(r.Scope)
	sum := sha256.New()
	fmt.Fprintf(sum, "%s\n%s\n%v\n", r.Name, scope, r.Removed)
	sum.Write(r.Content)
	return hex.EncodeToString(sum.Sum(nil))
}

// removedResource returns the tombstone of a resource that a revision removed.
func removedResource(name string, revision Revision) Resource {
	removed := Resource{Name: name, Removed: true, Revision: revision}
	removed.Hash = hashOf(&removed)
	return removed
}

// Check validates all that a receiver of the resource relies on. The error is an *InvalidError.
func (r *Resource) Check() error {
	invalid := func(what, format string, values ...any) error {
		return &InvalidError{What: what, Name: r.Name, Reason: fmt.Sprintf(format, values...)}
	}
	if !namePattern.MatchString(r.Name) {
		return invalid("name", nameRequirement)
	}
	if err := r.Scope.check(r.Name); err != nil {
		return err
	}
	if len(r.Author) > maxAuthorBytes || !utf8.ValidString(r.Author) {
		return invalid("author", "%d bytes; want valid UTF-8 of at most %d bytes", len(r.Author), maxAuthorBytes)
	}
	if year := r.At.Year(); year < 0 || year > maxYear {
		return invalid("time", "year %d; want 0 to %d", year, maxYear)
	}
	if r.Hash != hashOf(r) {
		return invalid("hash", "it does not match the content")
	}
	if r.Removed {
		if len(r.Content) > 0 {
			return invalid("content", "a removed resource must have no content")
		}
		return nil
	}
	return checkContent(r.Name, r.Content)
}

// check validates the scope of the named resource. The error is an *InvalidError.
func (s Scope) check(name string) error {
	if s.Fraction < 0 || s.Fraction > 1 || math.IsNaN(s.Fraction) {
		return &InvalidError{What: "scope", Name: name, Reason: fmt.Sprintf("share %v; want 0 to 1, where 0 means all hosts", s.Fraction)}
	}
	if len(s.Labels) > maxLabels {
		return &InvalidError{What: "scope", Name: name, Reason: fmt.Sprintf("%d labels; at most %d are allowed", len(s.Labels), maxLabels)}
	}
	for key, value := range s.Labels {
		if key == "" || len(key) > maxLabelBytes || len(value) > maxLabelBytes {
			return &InvalidError{What: "scope", Name: name, Reason: fmt.Sprintf("label %.40q: want a key that is not empty, and at most %d bytes for the key and for the value", key, maxLabelBytes)}
		}
		// The hash and the stored entries use JSON, which replaces invalid bytes.
		if !utf8.ValidString(key) || !utf8.ValidString(value) {
			return &InvalidError{What: "scope", Name: name, Reason: fmt.Sprintf("label %.40q: the key or the value is not valid UTF-8", key)}
		}
	}
	return nil
}

// checkContent validates a resource's settings. The error is an *InvalidError.
func checkContent(name string, content []byte) error {
	if len(content) > MaxContent {
		return &InvalidError{What: "content", Name: name, Reason: fmt.Sprintf("%d bytes; at most %d are allowed", len(content), MaxContent)}
	}
	var object map[string]json.RawMessage
	if err := json.Unmarshal(content, &object); err != nil {
		return &InvalidError{What: "content", Name: name, Reason: fmt.Sprintf("not a JSON object: %v", err)}
	}
	if object == nil {
		return &InvalidError{What: "content", Name: name, Reason: "not a JSON object: null"}
	}
	for key := range object {
		if isInstanceKey(key) {
			return &InvalidError{What: "content", Name: name, Reason: fmt.Sprintf("%q differs from instance to instance and can't be distributed", key)}
		}
	}
	return nil
}

// isInstanceKey reports whether a key belongs to a single instance. It ignores case, as the decoder
// of an instance's settings does.
func isInstanceKey(key string) bool {
	return slices.ContainsFunc(instanceKeys, func(reserved string) bool { return strings.EqualFold(key, reserved) })
}

// clone returns a deep copy.
func (s Scope) clone() Scope {
	s.Labels = maps.Clone(s.Labels)
	return s
}

// sortInMergeOrder sorts resources by the number of labels in their scope, ascending, then by name.
// Later resources override earlier ones.
func sortInMergeOrder(resources []Resource) {
	slices.SortFunc(resources, func(x, y Resource) int {
		if n := len(x.Scope.Labels) - len(y.Scope.Labels); n != 0 {
			return n
		}
		return compareNames(x, y)
	})
}
