package elmconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
)

// patch is a JSON merge patch of a Config, split by top-level key.
type patch struct {
	Site        *string                    `json:"site"`
	Datacentres map[string]json.RawMessage `json:"datacentres"`
	Services    map[string]json.RawMessage `json:"services"`
	Workspaces  map[string]json.RawMessage `json:"workspaces"`
	Drained     json.RawMessage            `json:"drained"`
	Change      *Change                    `json:"change"`
}

// WithPatch returns a copy with a JSON merge patch applied. It decodes only what
// the patch changes, so its cost depends little on the size of the configuration.
func (c Config) WithPatch(body []byte) (Config, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var p patch
	if err := decoder.Decode(&p); err != nil {
		return c, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if p.Site != nil {
		c.Site = *p.Site
	}
	if p.Change != nil {
		c.Change = p.Change
	}
	if len(p.Drained) > 0 {
		c.Drained = nil
		if err := json.Unmarshal(p.Drained, &c.Drained); err != nil {
			return c, fmt.Errorf("%w: drained: %w", ErrInvalid, err)
		}
	}
	return c.withMapPatches(p)
}

// withMapPatches applies the patches of data centres, services and workspaces.
func (c Config) withMapPatches(p patch) (Config, error) {
	var err error
	if c.Datacentres, err = mergeMap(c.Datacentres, p.Datacentres); err != nil {
		return c, err
	}
	if c.Services, err = mergeMap(c.Services, p.Services); err != nil {
		return c, err
	}
	if len(p.Workspaces) == 0 {
		return c, nil
	}
	if c.Workspaces, err = mergeMap(c.Workspaces, p.Workspaces); err != nil {
		return c, err
	}
	return c.withCredentialIndex(), nil
}

// mergeMap returns a patched copy of a map: null removes a key, and any other
// value is merged into the current one.
func mergeMap[T any](current map[string]T, changes map[string]json.RawMessage) (map[string]T, error) {
	if len(changes) == 0 {
		return current, nil
	}
	merged := maps.Clone(current)
	for name, body := range changes {
		if string(body) == "null" {
			delete(merged, name)
			continue
		}
		value, err := mergeValue(merged[name], body)
		if err != nil {
			return nil, fmt.Errorf("%w: %s: %w", ErrInvalid, name, err)
		}
		merged[name] = value
	}
	return merged, nil
}

// mergeValue merges a patch into a value. It does not merge nested objects, since
// no member is an object. Null sets a member to its zero value, which is omitted
// when the value is encoded.
func mergeValue[T any](current T, body json.RawMessage) (T, error) {
	members := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &members); err != nil {
		return current, err
	}
	data, err := json.Marshal(current)
	if err != nil {
		return current, err
	}
	merged := map[string]json.RawMessage{}
	if err = json.Unmarshal(data, &merged); err != nil {
		return current, err
	}
	for name, member := range members {
		delete(merged, name)
		if string(member) != "null" {
			merged[name] = member
		}
	}
	if data, err = json.Marshal(merged); err != nil {
		return current, err
	}
	var value T
	err = json.Unmarshal(data, &value)
	return value, err
}
