package distribution

import (
	"maps"
	"slices"
)

// Reader assembles the pages of an update. It serves one copy, which accepts only complete updates.
type Reader struct {
	limits   Limits
	assembly *assembly // nil between two updates
}

// assembly is an update of which more pages follow.
type assembly struct {
	update    Update
	resources map[string]Resource
}

// NewReader returns a Reader with limits on what it assembles.
func NewReader(limits Limits) *Reader { return &Reader{limits: limits} }

// Reset discards the pages received so far. It is called when another relay is used.
func (r *Reader) Reset() { r.assembly = nil }

// Query returns the next query of a copy that holds the given revision.
func (r *Reader) Query(held Revision, interest *Interest) Query {
	query := Query{After: held, Interest: interest}
	if r.assembly != nil {
		query.After, query.Began = r.assembly.update.Revision, r.assembly.update.Began
	}
	return query
}

// Take adds a page, and returns the update once it is complete. A page of a snapshot that is not
// the expected one arrived late: it is ignored, and the expected page is requested again. The error
// is a *LimitError and discards the pages received so far.
func (r *Reader) Take(page Update) (complete *Update, err error) {
	switch {
	case r.assembly != nil && r.assembly.continuedBy(&page):
	case page.Snapshot && !page.After.IsZero():
		return nil, nil
	default:
		r.assembly = newAssembly(page)
	}
	j := r.assembly
	j.add(&page)
	if err := r.check(j); err != nil {
		r.assembly = nil
		return nil, err
	}
	if page.More {
		return nil, nil
	}
	r.assembly = nil
	return j.complete(), nil
}

// check limits what is assembled to twice the contents and history of a State: once for the update,
// and once for what changes while it is read.
func (r *Reader) check(j *assembly) error {
	if limit := 2 * (r.limits.Resources + r.limits.History); len(j.resources) > limit {
		return &LimitError{What: "resources of one update", Limit: limit}
	}
	if limit := 2 * r.limits.History; len(j.update.Changes) > limit {
		return &LimitError{What: "changes of one update", Limit: limit}
	}
	return nil
}

func newAssembly(page Update) *assembly {
	page.Resources, page.Changes = nil, nil
	return &assembly{update: page, resources: make(map[string]Resource)}
}

func (j *assembly) add(page *Update) {
	for _, resource := range page.Resources {
		j.resources[resource.Name] = resource
	}
	j.update.Changes = append(j.update.Changes, page.Changes...)
	j.update.Revision, j.update.More = page.Revision, page.More
}

func (j *assembly) complete() *Update {
	resources := slices.SortedFunc(maps.Values(j.resources), compareRevisions)
	j.update.Resources = withoutRemoved(j.update.Snapshot, resources)
	return &j.update
}

func (j *assembly) continuedBy(page *Update) bool {
	return page.Snapshot == j.update.Snapshot && page.Began == j.update.Began && page.After == j.update.Revision
}

// withoutRemoved drops from a snapshot the resources that were removed while it was read.
func withoutRemoved(snapshot bool, resources []Resource) []Resource {
	if !snapshot {
		return resources
	}
	return slices.DeleteFunc(resources, func(r Resource) bool { return r.Removed })
}
