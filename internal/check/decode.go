package check

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"sync"
)

// maxDepth bounds the nesting of a document. The deepest value of the settings
// tree has depth 9.
const maxDepth = 64

// Decode parses data into out, a pointer to a struct. It rejects keys that don't
// equal the JSON name of a field, duplicate keys and null. The error is of type
// Problems, or describes the position of a syntax error.
func Decode(data []byte, out any) error {
	value, err := Value(data)
	if err != nil {
		return err
	}
	var c Collector
	c.checkType("", value, reflect.TypeOf(out).Elem())
	if err := c.Err(); err != nil {
		return err
	}
	return json.Unmarshal(data, out)
}

// Value parses one JSON document into a value of type map[string]any, []any,
// string, bool, json.Number or nil. Duplicate keys, trailing data and a nesting
// deeper than maxDepth are errors.
func Value(data []byte) (any, error) {
	if value, ok := decodeFast(data); ok {
		return value, nil
	}
	return decodeTokens(data)
}

// decodeFast decodes the document with one call of Decode, which takes a third of
// the time of decodeTokens. It returns false for every document for which
// decodeTokens returns an error. A duplicate key shows in fewer decoded keys than
// colons outside strings.
func decodeFast(data []byte) (value any, ok bool) {
	colons, depth := scanStructure(data)
	if depth > maxDepth {
		return nil, false
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	if err := dec.Decode(&value); err != nil {
		return nil, false
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, false
	}
	return value, countKeys(value) == colons
}

// scanStructure returns the number of colons outside strings and the maximum
// nesting depth.
func scanStructure(data []byte) (colons, deepest int) {
	depth, quoted := 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == ':':
			colons++
		case c == '{' || c == '[':
			depth++
			deepest = max(deepest, depth)
		case c == '}' || c == ']':
			depth--
		}
	}
	return colons, deepest
}

// CountItems returns an upper bound of the number of members and elements of a JSON document,
// before it is decoded.
func CountItems(data []byte) int {
	items, quoted := 1, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == ',', c == '{', c == '[':
			items++
		}
	}
	return items
}

// countKeys returns the number of object keys in value and all values below it.
func countKeys(value any) int {
	n := 0
	switch v := value.(type) {
	case map[string]any:
		n = len(v)
		for _, inner := range v {
			n += countKeys(inner)
		}
	case []any:
		for _, inner := range v {
			n += countKeys(inner)
		}
	}
	return n
}

// decodeTokens decodes the document token by token, so that its error names the
// position of the problem.
func decodeTokens(data []byte) (any, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	value, err := readValue(dec, "", 0)
	if err != nil {
		if _, ok := errors.AsType[Problems](err); ok {
			return nil, err
		}
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, fmt.Errorf("JSON syntax at byte %d: %w", dec.InputOffset(), err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, Problems{{Path: "", Value: "trailing data", Allowed: "exactly one JSON document"}}
	}
	return value, nil
}

func readValue(dec *json.Decoder, path string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, Problems{{Path: path, Value: "nesting", Allowed: fmt.Sprintf("a depth of at most %d", maxDepth)}}
	}
	token, err := dec.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return readObject(dec, path, depth)
	case json.Delim('['):
		return readArray(dec, path, depth)
	}
	return token, nil
}

func readObject(dec *json.Decoder, path string, depth int) (any, error) {
	object := map[string]any{}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return nil, err
		}
		key, ok := token.(string)
		if !ok {
			return nil, fmt.Errorf("object key %v is not a string", token)
		}
		if _, twice := object[key]; twice {
			return nil, Problems{{Path: Pointer(path, key), Value: "duplicate key", Allowed: "each key once"}}
		}
		if object[key], err = readValue(dec, Pointer(path, key), depth+1); err != nil {
			return nil, err
		}
	}
	_, err := dec.Token()
	return object, err
}

func readArray(dec *json.Decoder, path string, depth int) (any, error) {
	array := []any{}
	for dec.More() {
		value, err := readValue(dec, Pointer(path, strconv.Itoa(len(array))), depth+1)
		if err != nil {
			return nil, err
		}
		array = append(array, value)
	}
	_, err := dec.Token()
	return array, err
}

// checkType adds a problem for each place at which value does not match type t.
func (c *Collector) checkType(path string, value any, t reflect.Type) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == reflect.TypeFor[json.RawMessage]() {
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		c.checkStruct(path, value, t)
	case reflect.Map:
		object, ok := value.(map[string]any)
		if !ok {
			c.Add(path, describeValue(value), "an object")
			return
		}
		for key, v := range object {
			c.checkType(Pointer(path, key), v, t.Elem())
		}
	case reflect.Slice:
		array, ok := value.([]any)
		if !ok {
			c.Add(path, describeValue(value), "an array")
			return
		}
		for i, v := range array {
			c.checkType(Pointer(path, strconv.Itoa(i)), v, t.Elem())
		}
	default:
		c.checkScalar(path, value, t)
	}
}

func (c *Collector) checkStruct(path string, value any, t reflect.Type) {
	object, ok := value.(map[string]any)
	if !ok {
		c.Add(path, describeValue(value), "an object")
		return
	}
	keys := jsonFields(t)
	for key, v := range object {
		at := Pointer(path, key)
		field, ok := keys[key]
		if !ok {
			c.Add(at, "unknown key", "a documented key")
			continue
		}
		c.checkType(at, v, field)
	}
}

func (c *Collector) checkScalar(path string, value any, t reflect.Type) {
	switch v := value.(type) {
	case string:
		if t.Kind() != reflect.String {
			c.Add(path, v, "%s", expectedType(t))
		}
	case bool:
		if t.Kind() != reflect.Bool {
			c.Add(path, v, "%s", expectedType(t))
		}
	case json.Number:
		if !fitsNumber(v.String(), t) {
			c.Add(path, v, "%s", expectedType(t))
		}
	default:
		c.Add(path, describeValue(value), "%s", expectedType(t))
	}
}

func fitsNumber(text string, t reflect.Type) bool {
	switch t.Kind() {
	case reflect.Float64:
		_, err := strconv.ParseFloat(text, 64)
		return err == nil
	case reflect.Int, reflect.Int64:
		_, err := strconv.ParseInt(text, 10, 64)
		return err == nil
	}
	return false
}

// expectedType describes the JSON values that type t accepts.
func expectedType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	}
	return "a whole number"
}

// describeValue returns the type of an object, an array or null, and the text of
// any other value.
func describeValue(value any) string {
	switch v := value.(type) {
	case nil:
		return "null"
	case map[string]any:
		return "object"
	case []any:
		return "array"
	default:
		return fmt.Sprint(v)
	}
}

// fieldCache caches the results of jsonFields by reflect.Type.
var fieldCache sync.Map

// jsonFields returns the types of the fields of struct type t by JSON key,
// including the fields of embedded structs. The map is shared; callers must not
// change it.
func jsonFields(t reflect.Type) map[string]reflect.Type {
	if known, ok := fieldCache.Load(t); ok {
		return known.(map[string]reflect.Type)
	}
	found := collectFields(t)
	fieldCache.Store(t, found)
	return found
}

func collectFields(t reflect.Type) map[string]reflect.Type {
	found := map[string]reflect.Type{}
	for field := range t.Fields() {
		if field.Anonymous {
			for key, inner := range jsonFields(field.Type) {
				found[key] = inner
			}
			continue
		}
		if key, _, _ := strings.Cut(field.Tag.Get("json"), ","); key != "" {
			found[key] = field.Type
		}
	}
	return found
}
