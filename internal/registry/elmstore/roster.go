package elmstore

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/elmcove/elmcove/internal/wire/elmbounded"
	"github.com/elmcove/elmcove/internal/wire/elmkvapi"
)

// rosterTransport removes from the platform's instance list what does not match the schema
// of an instance. The generated decoder rejects the complete list otherwise.
type rosterTransport struct {
	next    *elmbounded.Transport
	omitted func(instance string, err error)
}

// RoundTrip implements http.RoundTripper.
func (t rosterTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if err != nil || !strings.HasSuffix(request.URL.Path, "/instances") || response.StatusCode != http.StatusOK {
		return response, err //nolint:wrapcheck // The client wraps it.
	}
	document, err := elmbounded.ReadAll(response.Body, maxBodyBytes)
	if err != nil {
		_ = response.Body.Close() // The response is no longer used.
		return nil, fmt.Errorf("read the instance list: %w", err)
	}
	document = t.usable(document)
	response.ContentLength = int64(len(document))
	// The body keeps its part of the budget while the list is decoded.
	response.Body = struct {
		io.Reader
		io.Closer
	}{bytes.NewReader(document), response.Body}
	return response, nil
}

// usable returns the list without the instances that don't match the schema, or as it is if
// the list itself can't be decoded.
func (t rosterTransport) usable(document []byte) []byte {
	var list struct {
		Version   json.RawMessage   `json:"version"`
		Instances []json.RawMessage `json:"instances"`
	}
	if json.Unmarshal(document, &list) != nil {
		return document
	}
	kept := make([]json.RawMessage, 0, len(list.Instances))
	for _, raw := range list.Instances {
		if err := checkInstance(raw); err != nil {
			t.omitted(excerpt(raw), err)
			continue
		}
		kept = append(kept, raw)
	}
	if len(kept) == len(list.Instances) {
		return document
	}
	list.Instances = kept
	filtered, err := json.Marshal(list)
	if err != nil {
		return document
	}
	return filtered
}

// checkInstance returns an error if a document does not match the schema of an instance.
func checkInstance(document []byte) error {
	var i elmkvapi.Instance
	if err := i.UnmarshalJSON(document); err != nil {
		return err
	}
	return i.Validate()
}

// excerptSize is the length in bytes of the part of a document that is logged.
const excerptSize = 120

func excerpt(document []byte) string { return string(document[:min(len(document), excerptSize)]) }
