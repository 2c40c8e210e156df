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
	maxYear        = 9999 // the last that JSON can represent
)

// nameRequirement describes namePattern.
const nameRequirement = "want letters, digits, '.', '_', '/' or '-', 128 at most"

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
	Removed  bool      `msgpack:"removed,omitempty" json:"removed,omitempty"` // removed: it has no content
	Revision Revision  `msgpack:"revision" json:"revision"`                   // of the latest change
	Hash     string    `msgpack:"hash" json:"hash"`                           // SHA-256 of name, scope and content
	Author   string    `msgpack:"author,omitempty" json:"author,omitempty"`
	At       time.Time `msgpack:"at" json:"at"`
}

// Scope selects instances: those that have all of its labels, on the hosts of its fraction.
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

// Check validates an interest.
func (i Interest) Check() error {
	invalid := func(reason string) error {
		return &InvalidError{What: "interest", Name: i.Host, Reason: reason}
	}
	if i.Host == "" || len(i.Host) > maxLabelBytes {
		return invalid(fmt.Sprintf("a host's name of 1 to %d bytes is needed", maxLabelBytes))
	}
	if len(i.Instances) > maxInterestInstances {
		return invalid(fmt.Sprintf("%d instances; %d at most", len(i.Instances), maxInterestInstances))
	}
	bytes := 0
	for _, labels := range i.Instances {
		for key, value := range labels {
			bytes += len(key) + len(value)
		}
	}
	if bytes > maxInterestBytes {
		return invalid(fmt.Sprintf("%d bytes of labels; %d at most", bytes, maxInterestBytes))
	}
	return nil
}

// Matches reports whether the named resource's scope covers an instance with these labels on the
// given host.
func (s Scope) Matches(resource, host string, labels map[string]string) bool {
	for key, value := range s.Labels {
		if have, ok := labels[key]; !ok || have != value {
			return false
		}
	}
	return s.holdsHost(resource, host)
}

func (s Scope) holdsHost(resource, host string) bool {
	if s.Fraction == 0 || s.Fraction == 1 {
		return true
	}
	drawn := float64(xxhash.Sum64String(resource+"\x00"+host)) / math.MaxUint64
	return drawn < s.Fraction
}

// Concerned reports whether the named resource's scope covers an instance of the interest.
func (i Interest) Concerned(resource string, scope Scope) bool {
	return slices.ContainsFunc(i.Instances, func(labels map[string]string) bool {
		return scope.Matches(resource, i.Host, labels)
	})
}

// hashOf computes a resource's hash.
func hashOf(r *Resource) string {
	// Maps are encoded in the order of their keys.
	scope, _ := json.Marshal(r.Scope)
	sum := sha256.New()
	fmt.Fprintf(sum, "%s\n%s\n%v\n", r.Name, scope, r.Removed)
	sum.Write(r.Content)
	return hex.EncodeToString(sum.Sum(nil))
}

// removedResource returns the marker of a resource that a revision removed.
func removedResource(name string, revision Revision) Resource {
	removed := Resource{Name: name, Removed: true, Revision: revision}
	removed.Hash = hashOf(&removed)
	return removed
}

// Check validates everything about a resource that a receiver relies on.
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
		return invalid("author", "%d bytes; want UTF-8, %d bytes at most", len(r.Author), maxAuthorBytes)
	}
	if year := r.At.Year(); year < 0 || year > maxYear {
		return invalid("time", "the year %d; want 0 to %d", year, maxYear)
	}
	if r.Hash != hashOf(r) {
		return invalid("hash", "it does not match the content")
	}
	if r.Removed {
		if len(r.Content) > 0 {
			return invalid("content", "a removed resource has none")
		}
		return nil
	}
	return checkContent(r.Name, r.Content)
}

func (s Scope) check(name string) error {
	if s.Fraction < 0 || s.Fraction > 1 || math.IsNaN(s.Fraction) {
		return &InvalidError{What: "scope", Name: name, Reason: fmt.Sprintf("a share of %v; want above 0, and 1 at most", s.Fraction)}
	}
	if len(s.Labels) > maxLabels {
		return &InvalidError{What: "scope", Name: name, Reason: fmt.Sprintf("%d labels; %d at most", len(s.Labels), maxLabels)}
	}
	for key, value := range s.Labels {
		if key == "" || len(key) > maxLabelBytes || len(value) > maxLabelBytes {
			return &InvalidError{What: "scope", Name: name, Reason: fmt.Sprintf("label %.40q: a key, and %d bytes at most", key, maxLabelBytes)}
		}
		// The hash and the stored entries use JSON, which replaces invalid bytes.
		if !utf8.ValidString(key) || !utf8.ValidString(value) {
			return &InvalidError{What: "scope", Name: name, Reason: fmt.Sprintf("label %.40q: not UTF-8", key)}
		}
	}
	return nil
}

func checkContent(name string, content []byte) error {
	if len(content) > MaxContent {
		return &InvalidError{What: "content", Name: name, Reason: fmt.Sprintf("%d bytes; %d at most", len(content), MaxContent)}
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
			return &InvalidError{What: "content", Name: name, Reason: fmt.Sprintf("%q differs from instance to instance", key)}
		}
	}
	return nil
}

// isInstanceKey ignores case, as the decoder of an instance's settings does.
func isInstanceKey(key string) bool {
	return slices.ContainsFunc(instanceKeys, func(reserved string) bool { return strings.EqualFold(key, reserved) })
}

// clone returns a deep copy.
func (s Scope) clone() Scope {
	s.Labels = maps.Clone(s.Labels)
	return s
}

// inMergeOrder sorts resources in merge order: by the number of labels in their scope, ascending,
// then by name. Later resources override earlier ones.
func inMergeOrder(resources []Resource) {
	slices.SortFunc(resources, func(x, y Resource) int {
		if n := len(x.Scope.Labels) - len(y.Scope.Labels); n != 0 {
			return n
		}
		return compareNames(x, y)
	})
}
