// Package exchange sends HTTP/1.1 requests to upstreams over pooled connections.
//
// It differs from net/http's client in what it promises: a request is written
// at most once, an error tells whether any byte may have reached the upstream,
// and a connection whose last answer was followed by further bytes is never
// used again. Encoding and decoding of messages are those of net/http.
package exchange
