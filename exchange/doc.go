// Package exchange sends HTTP/1.1 requests to upstreams over pooled connections.
//
// Unlike the client of net/http, it guarantees that a request is written at most
// once, that an error tells whether any byte of the request may have reached the
// upstream, and that a connection is never reused if further bytes followed its
// last response, nor for a request that was sent on it before. It encodes and
// decodes messages with net/http.
package exchange
