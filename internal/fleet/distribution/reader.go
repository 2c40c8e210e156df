package distribution

import (
	"maps"
	"slices"
)

// Reader assembles the pages of updates for one copy, which accepts only complete updates. It is not
// safe for concurrent use.
type Reader struct {
	limits   Limits
	assembly *assembly // nil between two updates
}

// assembly is an update with more pages to follow.
type assembly struct {
	update    Update
	resources map[string]Resource
}

// NewReader returns a Reader with limits on what it assembles.
func NewReader(limits Limits) *Reader { return &Reader{limits: limits} }

// Reset discards the pages received so far, so that the next query requests a new update. Without it
// a snapshot that was begun at one relay is continued at the next one.
func (r *Reader) Reset() { r.assembly = nil }

// Query returns the next query for a copy that holds the given revision.
func (r *Reader) Query(held Revision, interest *Interest) Query {
	query := Query{After: held, Interest: interest}
	if r.assembly != nil {
		query.After, query.Began = r.assembly.update.Revision, r.assembly.update.Began
	}
	return query
}

// AddPage adds a page, and returns the update once it is complete. A page of a snapshot that is not
// the expected one arrived late: it is ignored, and the expected page is requested again. If the error
// is not nil it is a *LimitError, and the pages received so far are discarded.
func (r *Reader) AddPage(page Update) (complete *Update, err error) {
	switch {
	case r.assembly != nil && r.assembly.continuedBy(&page):
	case page.Snapshot && !page.After.IsZero():
		return nil, nil
	default:
		r.assembly = newAssembly(page)
	}
	current := r.assembly
	current.add(&page)
	if err := r.checkLimits(current); err != nil {
		r.assembly = nil
		return nil, err
	}
	if page.More {
		return nil, nil
	}
	r.assembly = nil
	return current.complete(), nil
}

// checkLimits returns a *LimitError if the assembly exceeds twice the contents and history of a
// State: once for the update, and once for what changes while it is read.
func (r *Reader) checkLimits(a *assembly) error {
	if limit := 2 * (r.limits.Resources + r.limits.History); len(a.resources) > limit {
		return &LimitError{What: "resources in one update", Limit: limit}
	}
	if limit := 2 * r.limits.History; len(a.update.Changes) > limit {
		return &LimitError{What: "changes in one update", Limit: limit}
	}
	return nil
}

// newAssembly returns an assembly that begins with the page. The page's contents are not yet added.
func newAssembly(page Update) *assembly {
	page.Resources, page.Changes = nil, nil
	return &assembly{update: page, resources: make(map[string]Resource)}
}

// add adds the contents of the next page.
func (a *assembly) add(page *Update) {
	for _, resource := range page.Resources {
		a.resources[resource.Name] = resource
	}
	a.update.Changes = append(a.update.Changes, page.Changes...)
	a.update.Revision, a.update.More = page.Revision, page.More
}

// complete returns the update, after its last page has been added.
func (a *assembly) complete() *Update {
	resources := slices.SortedFunc(maps.Values(a.resources), compareRevisions)
	a.update.Resources = withoutRemoved(a.update.Snapshot, resources)
	return &a.update
}

// continuedBy reports whether the page is the next one of the update.
func (a *assembly) continuedBy(page *Update) bool {
	return page.Snapshot == a.update.Snapshot && page.Began == a.update.Began && page.After == a.update.Revision
}

// withoutRemoved drops from a snapshot the resources that were removed while it was read.
func withoutRemoved(snapshot bool, resources []Resource) []Resource {
	if !snapshot {
		return resources
	}
	return slices.DeleteFunc(resources, func(r Resource) bool { return r.Removed })
}
