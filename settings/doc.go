// Package settings reads the daemon's JSON settings file.
//
// Decoding is strict: unknown and duplicate keys, null, wrong types and
// trailing data are errors. Load returns all problems of a file at once, each
// with the JSON pointer of the value and the allowed values. Defaults and
// ranges are defined in the field tags, from which docs/settings.md is generated.
package settings
