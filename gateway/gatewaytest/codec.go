// Package gatewaytest provides a codec for tests of the gateway.
package gatewaytest

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/savoryshift/savoryshift/gateway"
	"github.com/savoryshift/savoryshift/placement"
)

// Codec maps each field to a plain header of the same or a similar name.
type Codec struct{}

var _ gateway.Codec = Codec{}

// Decode implements gateway.Codec.
func (Codec) Decode(r *http.Request) (gateway.Request, error) {
	out := gateway.Request{
		ID: r.Header.Get("Id"), Method: r.Method, Target: r.RequestURI, Host: r.Host, Path: r.URL.Path, Header: http.Header{},
		Key: r.Header.Get("Key"), Model: r.Header.Get("Model"), Session: r.Header.Get("Session"), LastEventID: r.Header.Get("Last"),
	}
	out.AnyModel = out.Model == "any"
	ms, _ := strconv.Atoi(r.Header.Get("Patience"))
	out.Patience = time.Duration(ms) * time.Millisecond
	out.PromptTokens, _ = strconv.Atoi(r.Header.Get("Tokens"))
	for name := range strings.SplitSeq(r.Header.Get("Parts"), ",") {
		if name != "" {
			out.Parts = append(out.Parts, placement.Part{ID: name, Tokens: 100})
		}
	}
	return out, nil
}

// Encode implements gateway.Codec.
func (Codec) Encode(r *gateway.Request, c gateway.Call) http.Header {
	return http.Header{
		"Id": {r.ID}, "Upstream": {c.Upstream}, "Organisation": {c.Organisation}, "Model": {c.Model}, "Last": {c.LastEventID},
		"Left": {strconv.FormatInt(c.Left.Milliseconds(), 10)}, "Engine-Priority": {strconv.Itoa(c.EnginePriority)},
	}
}

// DecodeResponse implements gateway.Codec.
func (Codec) DecodeResponse(resp *http.Response) gateway.ResponseHeader {
	r := gateway.ResponseHeader{
		Status: resp.StatusCode, RequestID: strings.Join(resp.Header.Values("Id"), ", "), NotRun: resp.Header.Get("Not-Run") != "",
		Misdirected: resp.StatusCode == http.StatusMisdirectedRequest, Signed: resp.Header.Get("Signature") != "", Confidence: -1,
	}
	if n, err := strconv.Atoi(resp.Header.Get("Confidence")); err == nil {
		r.Confidence = n
	}
	r.ColdLeft, _ = time.ParseDuration(resp.Header.Get("Cold"))
	r.Leaving = resp.Header.Get("Leaving") != ""
	r.RetryAfter, _ = time.ParseDuration(resp.Header.Get("Retry-After"))
	return r
}

// EncodeRefusal implements gateway.Codec.
func (Codec) EncodeRefusal(h http.Header, r *gateway.Request, after time.Duration) {
	h.Set("Retry-After", after.String())
}
