package distribution

import (
	"maps"
	"slices"
)

// Reader joins the pages of updates. It serves one copy; the copy takes only whole updates.
type Reader struct {
	limits   Limits
	assembly *assembly // nil: between two updates
}

// assembly is an update that goes on.
type assembly struct {
	update    Update
	resources map[string]Resource
}

// NewReader returns a Reader that bounds what it joins.
func NewReader(limits Limits) *Reader { return &Reader{limits: limits} }

// Reset forgets the pages so far: another relay is asked from now on.
func (r *Reader) Reset() { r.assembly = nil }

// Query is what a copy that holds a revision asks for next.
func (r *Reader) Query(held Revision, interest *Interest) Query {
	query := Query{After: held, Interest: interest}
	if r.assembly != nil {
		query.After, query.Began = r.assembly.update.Revision, r.assembly.update.Began
	}
	return query
}

// Take takes a page, and returns the whole update once it is there. A page of a snapshot that
// is not the next one is left out: it came late, and the next one is asked for again. The
// error is of *LimitError; the pages so far are forgotten then.
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

// check bounds what is joined: as much as a State may hold and have in its history, and as
// much again for what changes meanwhile.
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

// withoutRemoved leaves out of a snapshot what was removed while it was read.
func withoutRemoved(snapshot bool, resources []Resource) []Resource {
	if !snapshot {
		return resources
	}
	return slices.DeleteFunc(resources, func(r Resource) bool { return r.Removed })
}
