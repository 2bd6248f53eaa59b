// Package gateway handles client requests: it matches the route, authenticates
// the API key, places calls at upstreams, retries calls and resumes streams
// where the route allows it, and either delivers one complete response or aborts
// the connection so that the client sees that the response is incomplete.
//
// Wire formats and header names are defined by the Codec; this package makes
// all routing and retry decisions.
package gateway
