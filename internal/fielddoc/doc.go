// Package fielddoc renders the fields of JSON structs, with their doc comments
// and tags, as Markdown tables. Tests use it to verify that documentation pages
// match the code.
package fielddoc
