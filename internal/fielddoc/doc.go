// Package fielddoc renders the fields of JSON structs, with their doc comments
// and tags, as Markdown tables. Tests use it to keep pages equal to the code.
package fielddoc
