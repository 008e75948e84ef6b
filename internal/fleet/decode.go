package fleet

import (
	"bytes"
	"encoding"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// maxFileBytes bounds one configuration file.
const maxFileBytes = 4 << 20

// decoder decodes files strictly and records the position of each setting.
type decoder struct {
	file      string
	positions map[string]Position
	problems  []Problem
}

// singleValuedSections lists the sections that may appear in only one file.
var singleValuedSections = []string{"Fleet", "FailureDomains", "Defaults"}

func (d *decoder) decodeFile(data []byte, config *Config) {
	if len(data) > maxFileBytes {
		d.add(1, "", fmt.Sprintf("file of %d bytes", len(data)), fmt.Sprintf("at most %d bytes", maxFileBytes))
		return
	}
	root, ok := d.parse(data)
	if !ok {
		return
	}
	before := len(d.problems)
	d.checkSections(root)
	d.walkStruct(root, reflect.TypeFor[Config](), "")
	if len(d.problems) > before {
		return
	}
	var part Config
	if err := root.Decode(&part); err != nil {
		d.add(root.Line, "", err.Error(), "")
		return
	}
	config.merge(part)
}

// parse returns the root mapping of the file's only document. It returns false for an empty file, and after it reported
// a problem.
func (d *decoder) parse(data []byte) (*yaml.Node, bool) {
	reader := yaml.NewDecoder(bytes.NewReader(data))
	var document yaml.Node
	err := reader.Decode(&document)
	if errors.Is(err, io.EOF) {
		return nil, false
	}
	if err != nil {
		line, detail := splitSyntaxError(err)
		d.add(line, "", detail, "a YAML document")
		return nil, false
	}
	root := document.Content[0]
	if root.Kind == yaml.ScalarNode && root.Tag == "!!null" {
		return nil, false
	}
	var second yaml.Node
	if err := reader.Decode(&second); !errors.Is(err, io.EOF) {
		d.add(root.Line, "", "more than one document", "one document a file")
		return nil, false
	}
	return root, true
}

// splitSyntaxError splits a parser's error such as "yaml: line 3: did not find..." into line and detail; the line is 1
// if the message has none.
func splitSyntaxError(err error) (line int, detail string) {
	detail = strings.TrimPrefix(err.Error(), "yaml: ")
	if _, scanErr := fmt.Sscanf(detail, "line %d:", &line); scanErr != nil {
		return 1, detail
	}
	_, detail, _ = strings.Cut(detail, ": ")
	return line, detail
}

// checkSections reports single-valued sections that an earlier file already sets.
func (d *decoder) checkSections(root *yaml.Node) {
	for i := 0; i+1 < len(root.Content); i += 2 {
		key := root.Content[i]
		if earlier, ok := d.positions[key.Value]; ok && slices.Contains(singleValuedSections, key.Value) {
			d.add(key.Line, key.Value, "already set at "+earlier.String(), "once")
		}
	}
}

// merge adds the sections that part sets.
func (c *Config) merge(part Config) {
	if part.Fleet != "" {
		c.Fleet = part.Fleet
	}
	if part.FailureDomains != nil {
		c.FailureDomains = part.FailureDomains
	}
	if part.Defaults.Allowed != nil {
		c.Defaults = part.Defaults
	}
	c.Services = append(c.Services, part.Services...)
	c.Teams = append(c.Teams, part.Teams...)
	c.Exceptions = append(c.Exceptions, part.Exceptions...)
}

// walk checks a node against the type that it will be decoded into.
func (d *decoder) walk(node *yaml.Node, typ reflect.Type, path string) {
	if typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	switch {
	case node.Kind == yaml.AliasNode || node.Anchor != "":
		d.add(node.Line, path, "anchors and aliases are not read", "the value itself")
	case isScalar(typ):
		d.walkScalar(node, typ, path)
	case typ.Kind() == reflect.Slice:
		d.walkList(node, typ, path)
	default:
		d.walkStruct(node, typ, path)
	}
}

func isScalar(typ reflect.Type) bool {
	if typ == reflect.TypeFor[time.Time]() || reflect.PointerTo(typ).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		return true
	}
	return typ.Kind() != reflect.Slice && typ.Kind() != reflect.Struct
}

func (d *decoder) walkScalar(node *yaml.Node, typ reflect.Type, path string) {
	if node.Kind != yaml.ScalarNode || node.Tag == "!!null" {
		d.add(node.Line, path, "no single value", describeType(typ))
		return
	}
	if err := node.Decode(reflect.New(typ).Interface()); err != nil {
		d.add(node.Line, path, fmt.Sprintf("bad value %q", node.Value), describeType(typ))
	}
}

func describeType(typ reflect.Type) string {
	switch {
	case typ == reflect.TypeFor[time.Duration]():
		return `a duration such as "30s"`
	case typ == reflect.TypeFor[time.Time]():
		return `a time such as "2026-01-31T18:00:00Z"`
	case typ.Kind() == reflect.Bool:
		return "true or false"
	case typ.Kind() == reflect.Float64:
		return "a number"
	case typ.Kind() == reflect.Int64:
		return "a whole number"
	default:
		return "a text"
	}
}

func (d *decoder) walkList(node *yaml.Node, typ reflect.Type, path string) {
	if node.Kind != yaml.SequenceNode {
		d.add(node.Line, path, "not a list", "a list")
		return
	}
	for i, item := range node.Content {
		itemPath := path + "[" + itemName(item, i) + "]"
		if earlier, ok := d.positions[itemPath]; ok && item.Kind == yaml.MappingNode {
			d.add(item.Line, itemPath, "already set at "+earlier.String(), "once")
			continue
		}
		d.positions[itemPath] = Position{File: d.file, Line: item.Line}
		d.walk(item, typ.Elem(), itemPath)
	}
}

// itemName returns the Name or ID of a list item, or its index if it has neither.
func itemName(item *yaml.Node, index int) string {
	for i := 0; item.Kind == yaml.MappingNode && i+1 < len(item.Content); i += 2 {
		key := item.Content[i].Value
		if (key == "Name" || key == "ID") && item.Content[i+1].Kind == yaml.ScalarNode {
			return item.Content[i+1].Value
		}
	}
	return fmt.Sprint(index)
}

func (d *decoder) walkStruct(node *yaml.Node, typ reflect.Type, path string) {
	if node.Kind != yaml.MappingNode {
		d.add(node.Line, path, "not a mapping", "the fields "+strings.Join(fieldNames(typ), ", "))
		return
	}
	seen := make(map[string]bool)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i]
		field, ok := findField(typ, key.Value)
		if !ok {
			d.add(key.Line, path, fmt.Sprintf("unknown field %q", key.Value), strings.Join(fieldNames(typ), ", "))
			continue
		}
		fieldPath := joinPath(path, key.Value)
		if seen[key.Value] {
			d.add(key.Line, fieldPath, "set twice", "once")
			continue
		}
		seen[key.Value] = true
		if _, ok := d.positions[fieldPath]; !ok {
			d.positions[fieldPath] = Position{File: d.file, Line: key.Line}
		}
		d.walk(node.Content[i+1], field.Type, fieldPath)
	}
	if path != "" {
		d.checkRequired(node, typ, path, seen)
	}
}

// checkRequired reports the fields without omitempty that are not set.
func (d *decoder) checkRequired(node *yaml.Node, typ reflect.Type, path string, seen map[string]bool) {
	for i := range typ.NumField() {
		name, options, _ := strings.Cut(typ.Field(i).Tag.Get("yaml"), ",")
		if name != "-" && options == "" && !seen[name] {
			d.add(node.Line, path, fmt.Sprintf("field %q is missing", name), describeField(typ.Field(i).Type))
		}
	}
}

func describeField(typ reflect.Type) string {
	if isScalar(typ) {
		return describeType(typ)
	}
	if typ.Kind() == reflect.Slice {
		return "a list"
	}
	return "the fields " + strings.Join(fieldNames(typ), ", ")
}

func findField(typ reflect.Type, name string) (reflect.StructField, bool) {
	for i := range typ.NumField() {
		tag, _, _ := strings.Cut(typ.Field(i).Tag.Get("yaml"), ",")
		if tag == name && tag != "-" {
			return typ.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

func fieldNames(typ reflect.Type) []string {
	var names []string
	for i := range typ.NumField() {
		tag, _, _ := strings.Cut(typ.Field(i).Tag.Get("yaml"), ",")
		if tag != "-" {
			names = append(names, tag)
		}
	}
	return names
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (d *decoder) add(line int, path, detail, allowed string) {
	d.problems = append(d.problems, Problem{
		Position: Position{File: d.file, Line: line},
		Path:     path,
		Detail:   detail,
		Allowed:  allowed,
	})
}
