package elmexchange

import "slices"

// maxCarried is the number of requests after which a connection is not reused.
const maxCarried = 100

// owner is the request that a response belongs to.
type owner int

const (
	// ownerIdentified is the pending request, which the response names.
	ownerIdentified owner = iota
	// ownerOnly is the pending request, since its connection has carried no other.
	ownerOnly
	// ownerOther is another request.
	ownerOther
	// ownerUnknown is the pending request or an earlier one on its connection.
	ownerUnknown
)

// ownerOf returns the request that a response belongs to. The endpoint may have written an
// earlier response once more, before or after it has received the pending request. A
// connection carries each attempt once only, so that a response which names the pending one
// is none to an earlier request.
func (c *conn) ownerOf(named, pending string) owner {
	switch {
	case named != "" && named == pending:
		return ownerIdentified
	case named != "":
		return ownerOther
	case len(c.carried) == 1:
		return ownerOnly
	}
	return ownerUnknown
}

// hasCarried reports whether responses to the attempt could not be told from those to
// earlier requests on the connection.
func (c *conn) hasCarried(attempt string) bool {
	return attempt == "" || slices.Contains(c.carried, attempt)
}

// lastUsable returns the index of the connection that was used last among those that have
// not carried the attempt, or -1 if there is none.
func lastUsable(list []*conn, attempt string) int {
	for i := len(list) - 1; i >= 0; i-- {
		if !list[i].hasCarried(attempt) {
			return i
		}
	}
	return -1
}
