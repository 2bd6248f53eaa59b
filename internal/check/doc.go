// Package check decodes JSON documents strictly and describes what is wrong
// with them. It is used for the settings tree and for the daemon's settings file.
//
// Decode reports every problem of a document at once: unknown and duplicate
// keys, values of a wrong type and trailing data, each with its JSON pointer.
package check
