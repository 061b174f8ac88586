package elmsnapshot

// Position is a point in the history of the platform's store. Revisions are comparable
// only within one era.
type Position struct {
	Era, Revision int64
}

// Before reports whether p is an earlier point than q.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Revision < q.Revision
}
