package elmcatalog

import "sync"

// Ranked reports whether requests of a service differ in priority: its routes that need a
// credential, or the workspaces, have different ones.
func (c Catalog) Ranked(service string) bool {
	return c.ranked != nil && c.ranked()[service] != nil
}

// withRanked returns the catalog with the ranks of its routes and workspaces, which are
// computed when they are first asked for.
func (c Catalog) withRanked() Catalog {
	source := c
	source.ranked = nil // It would keep all earlier versions.
	c.ranked = sync.OnceValue(source.Ranks)
	return c
}
