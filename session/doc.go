// Package session issues and verifies session tokens.
//
// A token pins a session to model versions. It is authenticated by HMAC-SHA256
// with a key ring: the first key signs, and all keys verify. Every daemon with the
// key ring can verify a token without a lookup. The format is
//
//	v1.<key id>.<payload, base64url>.<MAC, base64url>
//
// where the MAC covers everything before the last dot.
package session
