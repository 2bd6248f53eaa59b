// Package session issues and verifies session tokens.
//
// A token pins a session to a version. It is authenticated by HMAC-SHA256 with
// a key ring: the first key signs, all keys verify. Any daemon honours it
// without a lookup. The text is
//
//	v1.<key id>.<payload, base64url>.<MAC, base64url>
//
// and the MAC covers everything before its own dot.
package session
