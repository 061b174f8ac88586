package elmconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
)

// patch is a JSON merge patch of a Config, by its keys.
type patch struct {
	Site        *string                    `json:"site"`
	Datacentres map[string]json.RawMessage `json:"datacentres"`
	Services    map[string]json.RawMessage `json:"services"`
	Workspaces  map[string]json.RawMessage `json:"workspaces"`
	Drained     json.RawMessage            `json:"drained"`
	Change      *Change                    `json:"change"`
}

// WithPatch returns a copy that is changed by a JSON merge patch. Its cost
// depends little on the size of the configuration.
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
	return c.withMaps(p)
}

func (c Config) withMaps(p patch) (Config, error) {
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
	return c.indexed(), nil
}

// mergeMap returns a copy of a map in which null removes a key, and any other
// value is merged into the present one.
func mergeMap[T any](present map[string]T, changes map[string]json.RawMessage) (map[string]T, error) {
	if len(changes) == 0 {
		return present, nil
	}
	merged := maps.Clone(present)
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

// mergeValue merges a patch into a value whose members are no objects. A member
// that is null gets its zero value, which is left out when it is written.
func mergeValue[T any](present T, body json.RawMessage) (T, error) {
	members := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &members); err != nil {
		return present, err
	}
	data, err := json.Marshal(present)
	if err != nil {
		return present, err
	}
	merged := map[string]json.RawMessage{}
	if err = json.Unmarshal(data, &merged); err != nil {
		return present, err
	}
	for name, member := range members {
		delete(merged, name)
		if string(member) != "null" {
			merged[name] = member
		}
	}
	if data, err = json.Marshal(merged); err != nil {
		return present, err
	}
	var value T
	err = json.Unmarshal(data, &value)
	return value, err
}
