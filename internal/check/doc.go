// Package check decodes JSON documents strictly and describes what is wrong
// with them. The settings tree and the daemon's settings file share it.
//
// Decode reports every problem of a document at once: unknown and duplicate
// keys, values of a wrong type and trailing data, each with its JSON pointer.
package check
