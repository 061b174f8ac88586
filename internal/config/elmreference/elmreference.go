// Package elmreference generates the reference page of the configuration from its
// JSON schema.
//
// # Usage
//
//	page, err := elmreference.Page()
package elmreference

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/elmcove/elmcove/internal/config/elmconfig"
)

const intro = `# Configuration

This page is generated from the schema by ` + "`elmcove reference`" + `.

A site has one base file and an overlay, both JSON with comments. The overlay is
merged into the base as a JSON merge patch (RFC 7396). Unknown keys are refused.

| key | type | meaning |
| --- | --- | --- |
`

// node is the part of a JSON schema that the page shows.
type node struct {
	Type        string          `json:"type"`
	Enum        []string        `json:"enum"`
	Description string          `json:"description"`
	Properties  map[string]node `json:"properties"`
	Additional  json.RawMessage `json:"additionalProperties"`
}

// Page returns the reference as Markdown.
func Page() (string, error) {
	var root node
	if err := json.Unmarshal(elmconfig.Schema, &root); err != nil {
		return "", fmt.Errorf("configuration schema: %w", err)
	}
	var page strings.Builder
	page.WriteString(intro)
	writeNode(&page, "", root)
	return page.String(), nil
}

// writeNode writes a table row for each key of a node, sorted by path. NAME
// stands for the keys of an object whose keys are names.
func writeNode(page *strings.Builder, path string, n node) {
	if path != "" {
		fmt.Fprintf(page, "| `%s` | %s | %s |\n", path, typeName(n), n.Description)
		path += "."
	}
	for _, name := range slices.Sorted(maps.Keys(n.Properties)) {
		writeNode(page, path+name, n.Properties[name])
	}
	var item node
	if json.Unmarshal(n.Additional, &item) == nil && item.Type != "" {
		for _, name := range slices.Sorted(maps.Keys(item.Properties)) {
			writeNode(page, path+"NAME."+name, item.Properties[name])
		}
	}
}

func typeName(n node) string {
	if len(n.Enum) > 0 {
		return strings.Join(n.Enum, " or ")
	}
	return n.Type
}
