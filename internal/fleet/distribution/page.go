package distribution

// Approximate encoding overhead of a resource, a change and a label beyond their texts, in bytes.
const (
	resourceOverhead = 300
	changeOverhead   = 100
	labelOverhead    = 6
)

// size returns the approximate encoded size of the scope in bytes.
func (s *Scope) size() int {
	size := 0
	for key, value := range s.Labels {
		size += len(key) + len(value) + labelOverhead
	}
	return size
}

// size returns the approximate encoded size of the resource in bytes.
func (r *Resource) size() int {
	return resourceOverhead + len(r.Content) + len(r.Author) + r.Scope.size()
}

// size returns the approximate encoded size of the change in bytes.
func (c *Change) size() int {
	size := changeOverhead + len(c.Name) + c.Scope.size()
	if c.Before != nil {
		size += c.Before.size()
	}
	return size
}

// truncate shortens an update that exceeds limit bytes, so that it ends at an earlier revision. The
// first revision is always included. A limit of 0 means unlimited.
func (u *Update) truncate(limit int) {
	if limit <= 0 {
		return
	}
	var last Revision
	bytes, resources, changes := 0, 0, 0
	for resources < len(u.Resources) || changes < len(u.Changes) {
		revision := u.firstRevision(resources, changes)
		resourcesBefore, changesBefore := resources, changes
		for ; resources < len(u.Resources) && !u.Resources[resources].Revision.After(revision); resources++ {
			bytes += u.Resources[resources].size()
		}
		for ; changes < len(u.Changes) && !u.Changes[changes].Revision.After(revision); changes++ {
			bytes += u.Changes[changes].size()
		}
		if bytes > limit && resourcesBefore+changesBefore > 0 {
			u.Resources, u.Changes = u.Resources[:resourcesBefore], u.Changes[:changesBefore]
			u.Revision, u.More = last, true
			return
		}
		last = revision
	}
}

// firstRevision returns the earliest revision from the given indexes on, at least one of which is
// in range.
func (u *Update) firstRevision(resources, changes int) Revision {
	if resources == len(u.Resources) {
		return u.Changes[changes].Revision
	}
	revision := u.Resources[resources].Revision
	if changes < len(u.Changes) && revision.After(u.Changes[changes].Revision) {
		return u.Changes[changes].Revision
	}
	return revision
}
