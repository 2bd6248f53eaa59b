// Package gateway serves the requests of callers: it finds the route, checks
// the key, places calls at upstreams, repeats and resumes them where the route
// allows it, and delivers one whole answer or a visible break.
//
// Formats and header names are those of a Codec. The package decides; the codec
// only translates.
package gateway
