// Package operatortest provides fakes for tests of the operator API and its
// clients.
package operatortest
