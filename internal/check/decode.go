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

// maxDepth bounds the nesting of a document; the deepest value of the settings
// tree has depth 9.
const maxDepth = 64

// Decode parses data into out, a pointer to a struct. It accepts only keys
// that match a field name exactly, each once, without null. The error is
// Problems, or describes the position of a syntax error.
func Decode(data []byte, out any) error {
	value, err := Value(data)
	if err != nil {
		return err
	}
	var c Collector
	c.conform("", value, reflect.TypeOf(out).Elem())
	if err := c.Err(); err != nil {
		return err
	}
	return json.Unmarshal(data, out)
}

// Value parses one JSON document into map[string]any, []any, string, bool,
// json.Number and nil. Duplicate keys and trailing data are errors.
func Value(data []byte) (any, error) {
	if value, ok := quickValue(data); ok {
		return value, nil
	}
	return tokenValue(data)
}

// quickValue decodes at once, which takes a third of the time of reading
// tokens. It gives up on each document for which tokenValue returns an error:
// fewer keys after decoding than colons before mean a duplicate key.
func quickValue(data []byte) (value any, ok bool) {
	colons, depth := shape(data)
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

// shape counts the colons and the nesting outside strings.
func shape(data []byte) (colons, deepest int) {
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

// tokenValue reads tokens, so that it can say where a fault is.
func tokenValue(data []byte) (any, error) {
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

// conform reports where value does not fit type t.
func (c *Collector) conform(path string, value any, t reflect.Type) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == reflect.TypeFor[json.RawMessage]() {
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		c.conformStruct(path, value, t)
	case reflect.Map:
		object, ok := value.(map[string]any)
		if !ok {
			c.Add(path, kindOf(value), "an object")
			return
		}
		for key, v := range object {
			c.conform(Pointer(path, key), v, t.Elem())
		}
	case reflect.Slice:
		array, ok := value.([]any)
		if !ok {
			c.Add(path, kindOf(value), "an array")
			return
		}
		for i, v := range array {
			c.conform(Pointer(path, strconv.Itoa(i)), v, t.Elem())
		}
	default:
		c.conformScalar(path, value, t)
	}
}

func (c *Collector) conformStruct(path string, value any, t reflect.Type) {
	object, ok := value.(map[string]any)
	if !ok {
		c.Add(path, kindOf(value), "an object")
		return
	}
	keys := fields(t)
	for key, v := range object {
		at := Pointer(path, key)
		field, ok := keys[key]
		if !ok {
			c.Add(at, "unknown key", "a documented key")
			continue
		}
		c.conform(at, v, field)
	}
}

func (c *Collector) conformScalar(path string, value any, t reflect.Type) {
	switch v := value.(type) {
	case string:
		if t.Kind() != reflect.String {
			c.Add(path, v, "%s", wanted(t))
		}
	case bool:
		if t.Kind() != reflect.Bool {
			c.Add(path, v, "%s", wanted(t))
		}
	case json.Number:
		if !fitsNumber(v.String(), t) {
			c.Add(path, v, "%s", wanted(t))
		}
	default:
		c.Add(path, kindOf(value), "%s", wanted(t))
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

func wanted(t reflect.Type) string {
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

func kindOf(value any) string {
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

// fieldsOf caches the results of fields by type.
var fieldsOf sync.Map

// fields returns the JSON keys of struct type t with their types; the fields
// of embedded structs count as its own. Callers don't change the map.
func fields(t reflect.Type) map[string]reflect.Type {
	if known, ok := fieldsOf.Load(t); ok {
		return known.(map[string]reflect.Type)
	}
	found := listFields(t)
	fieldsOf.Store(t, found)
	return found
}

func listFields(t reflect.Type) map[string]reflect.Type {
	found := map[string]reflect.Type{}
	for field := range t.Fields() {
		if field.Anonymous {
			for key, inner := range fields(field.Type) {
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
