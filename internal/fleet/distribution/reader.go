package distribution

import (
	"maps"
	"slices"
)

// Reader joins the pages of updates. It serves one copy; the copy takes only whole updates.
type Reader struct {
	limits Limits
	joined *joined // nil: between two updates
}

// joined is an update that goes on.
type joined struct {
	update    Update
	resources map[string]Resource
}

// NewReader returns a Reader that bounds what it joins.
func NewReader(limits Limits) *Reader { return &Reader{limits: limits} }

// Reset forgets the pages so far: another relay is asked from now on.
func (r *Reader) Reset() { r.joined = nil }

// Query is what a copy that holds a revision asks for next.
func (r *Reader) Query(held Revision, interest *Interest) Query {
	query := Query{After: held, Interest: interest}
	if r.joined != nil {
		query.After, query.Began = r.joined.update.Revision, r.joined.update.Began
	}
	return query
}

// Take takes a page, and returns the whole update once it is there. The error is of
// *LimitError; the pages so far are forgotten then.
func (r *Reader) Take(page Update) (whole *Update, err error) {
	if r.joined == nil && !page.More {
		page.Resources = withoutRemoved(page.Snapshot, page.Resources)
		return &page, nil
	}
	if r.joined == nil || !r.joined.goesOnWith(&page) {
		r.joined = &joined{update: page, resources: make(map[string]Resource)}
		r.joined.update.Changes = nil
	}
	j := r.joined
	for _, resource := range page.Resources {
		j.resources[resource.Name] = resource
	}
	j.update.Changes = append(j.update.Changes, page.Changes...)
	j.update.Revision = page.Revision
	if len(j.resources) > 2*r.limits.Resources || len(j.update.Changes) > 2*r.limits.History {
		r.joined = nil
		return nil, &LimitError{What: "resources of one update", Most: 2 * r.limits.Resources}
	}
	if page.More {
		return nil, nil
	}
	r.joined = nil
	j.update.More = false
	j.update.Resources = withoutRemoved(j.update.Snapshot, slices.SortedFunc(maps.Values(j.resources), compareRevisions))
	return &j.update, nil
}

func (j *joined) goesOnWith(page *Update) bool {
	if j.update.Snapshot != page.Snapshot {
		return false
	}
	if page.Snapshot {
		return page.Began == j.update.Began
	}
	return page.After == j.update.Revision
}

// withoutRemoved leaves out of a snapshot what was removed while it was read.
func withoutRemoved(snapshot bool, resources []Resource) []Resource {
	if !snapshot {
		return resources
	}
	return slices.DeleteFunc(resources, func(r Resource) bool { return r.Removed })
}
