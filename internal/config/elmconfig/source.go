package elmconfig

import (
	"bytes"
	_ "embed" // The schema is embedded.
	"errors"
	"fmt"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"github.com/tailscale/hujson"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Source is the text of a file of JSON with comments, and the file name for
// errors.
type Source struct {
	Name string
	Text []byte
}

// Schema is the JSON Schema of the configuration.
//
//go:embed config.schema.json
var Schema []byte

var (
	schema  = compileSchema()
	printer = message.NewPrinter(language.English)
)

// standardize returns the source as plain JSON.
func (s Source) standardize() ([]byte, error) {
	value, err := hujson.Parse(s.Text)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrInvalid, s.Name, err)
	}
	value.Standardize()
	return value.Pack(), nil
}

// line returns the line number of a JSON pointer, or 0 if the source does not
// have it.
func (s Source) line(pointer string) int {
	value, err := hujson.Parse(s.Text)
	if err != nil {
		return 0
	}
	found := value.Find(pointer)
	if found == nil {
		return 0
	}
	return 1 + bytes.Count(s.Text[:found.StartOffset], []byte("\n"))
}

func compileSchema() *jsonschema.Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		panic(err) // The schema is embedded in the program.
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaSource, document); err != nil {
		panic(err)
	}
	return compiler.MustCompile(schemaSource)
}

// validate checks a document against the schema. Each error names the first
// source that has the invalid key.
func validate(document []byte, sources ...Source) error {
	instance, err := jsonschema.UnmarshalJSON(bytes.NewReader(document))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	var invalid *jsonschema.ValidationError
	if errors.As(schema.Validate(instance), &invalid) {
		return errors.Join(violations(invalid, sources)...)
	}
	return nil
}

// violations returns an error for each leaf of a validation error.
func violations(e *jsonschema.ValidationError, sources []Source) []error {
	var all []error
	for _, cause := range e.Causes {
		all = append(all, violations(cause, sources)...)
	}
	if len(e.Causes) > 0 {
		return all
	}
	for _, pointer := range pointers(e) {
		text := e.ErrorKind.LocalizedString(printer)
		all = append(all, fmt.Errorf("%w: %s: %s: %s", ErrInvalid, locate(pointer, sources), pointer, text))
	}
	return all
}

// pointers returns the JSON pointers of the invalid keys.
func pointers(e *jsonschema.ValidationError) []string {
	pointer := ""
	for _, token := range e.InstanceLocation {
		pointer += "/" + strings.NewReplacer("~", "~0", "/", "~1").Replace(token)
	}
	extra, ok := e.ErrorKind.(*kind.AdditionalProperties)
	if !ok {
		return []string{pointer}
	}
	all := make([]string, 0, len(extra.Properties))
	for _, property := range extra.Properties {
		all = append(all, pointer+"/"+property)
	}
	return all
}

// locate returns the file and line of a JSON pointer in the first source that has
// it, or the name of the last source.
func locate(pointer string, sources []Source) string {
	for _, s := range sources {
		if line := s.line(pointer); line > 0 {
			return fmt.Sprintf("%s:%d", s.Name, line)
		}
	}
	return sources[len(sources)-1].Name
}
