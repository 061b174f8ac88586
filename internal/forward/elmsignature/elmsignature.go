// Package elmsignature identifies what requests under which endpoints crash have in
// common: a segment of their prompts, or everything, if the same request comes again.
//
// The signature of a whole request is a digest of what its endpoint gets to work on. None
// of that can be read from the digest, so it may be logged and stored.
//
// # Usage
//
//	signature := elmsignature.OfRequest("POST desk.example/orders", workspace, body)
//	key := "quarantine/" + string(signature)
package elmsignature

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

const (
	// requestPrefix distinguishes requests from segments, whose IDs have no colon.
	requestPrefix = "request:"
	// digestBytes is the length of the digest in bytes.
	digestBytes = 16
)

// Signature is the text that identifies a prompt segment or a request. That of a segment
// is its ID.
type Signature string

// OfSegment returns the signature of a prompt segment.
func OfSegment(id string) Signature { return Signature(id) }

// OfRequest returns the signature of a request: its target, which is the method, the host
// and the path with the query, the workspace of its caller, and its body, in segments.
func OfRequest(target, workspace string, body ...[]byte) Signature {
	digest := sha256.New()
	for _, part := range [][][]byte{{[]byte(target)}, {[]byte(workspace)}, body} {
		length := uint64(0)
		for _, segment := range part {
			length += uint64(len(segment))
		}
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, length)) // Hashes never fail.
		for _, segment := range part {
			_, _ = digest.Write(segment)
		}
	}
	return Signature(requestPrefix + hex.EncodeToString(digest.Sum(nil)[:digestBytes]))
}

// IsRequest reports whether the signature is that of a request.
func (s Signature) IsRequest() bool { return strings.HasPrefix(string(s), requestPrefix) }
