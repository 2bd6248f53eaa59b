package infra

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/savoryshift/savoryshift/coord/store"
)

const (
	// maxReplyBytes bounds the body of a reply. The largest ones are objects that hold the
	// whole settings tree. MaxReplyHeaderBytes bounds its header.
	maxReplyBytes       = 8 << 20
	MaxReplyHeaderBytes = 64 << 10
	// DefaultTimeout bounds one call. A shorter deadline of the context holds.
	DefaultTimeout = 5 * time.Second
)

// errReplyTooLong is returned for a reply that exceeds maxReplyBytes.
var errReplyTooLong = errors.New("the reply of the platform is too long")

// errReplyUnproved is returned for a reply to a write that only the end of its connection
// ended. The connection may have ended during the upload, which the end does not show.
var errReplyUnproved = errors.New("the reply of the platform to a write has neither a length nor chunks")

// endsWithConnection reports whether only the end of the connection ends the body of a reply.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Options configures a Client.
type Options struct {
	// URL is the base URL of the platform, for example http://127.0.0.1:7000.
	URL string
	// HTTP is the HTTP client to use. Default: a new one.
	HTTP *http.Client
	// Timeout bounds each call. Default: DefaultTimeout.
	Timeout time.Duration
}

// Client implements store.Table, store.Objects and the other platform services
// over HTTP. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	vms     atomic.Pointer[vmList]
}

var (
	_ store.Table   = (*Client)(nil)
	_ store.Objects = (*ObjectClient)(nil)
)

// New returns a client for the platform at o.URL.
func New(o Options) *Client {
	if o.HTTP == nil {
		o.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxResponseHeaderBytes: MaxReplyHeaderBytes}}
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	return &Client{base: strings.TrimSuffix(o.URL, "/"), http: o.HTTP, timeout: o.Timeout}
}

// request is one call to the platform.
type request struct {
	method, path string
	header       http.Header
	body         []byte
	// write reports whether the call modifies data, so that its outcome is unknown
	// when the reply is lost.
	write bool
}

// response is a reply of the platform to a request. Replies with status 503 or 504
// are reported as errors instead.
type response struct {
	request
	status int
	header http.Header
	data   []byte
}

// exchange sends one request and reads the whole reply.
func (c *Client) exchange(ctx context.Context, r request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, c.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return response{}, oops.Wrap(err)
	}
	if r.header != nil {
		req.Header = r.header
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, store.TransportError(err, r.write)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	switch {
	case err == nil && len(data) > maxReplyBytes:
		err = errReplyTooLong
	case err == nil && r.write && endsWithConnection(resp):
		err = errReplyUnproved
	}
	if err != nil {
		return response{}, store.TransportError(err, r.write)
	}
	switch resp.StatusCode {
	case http.StatusServiceUnavailable:
		return response{}, store.ErrUnavailable
	case http.StatusGatewayTimeout:
		return response{}, store.TransportError(errors.New(resp.Status), r.write)
	}
	return response{request: r, status: resp.StatusCode, header: resp.Header, data: data}, nil
}

// decode decodes the JSON body of a reply with status 200 or 409 into out, unless
// out is nil. Other statuses are errors.
func (a response) decode(out any) error {
	if err := a.checkStatus(); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	return oops.Wrapf(json.Unmarshal(a.data, out), "platform reply to %s %s", a.method, a.path)
}

// checkStatus returns an error unless the status is 200 or 409.
func (a response) checkStatus() error {
	if a.status != http.StatusOK && a.status != http.StatusConflict {
		return oops.Errorf("platform answered %s %s with status %d: %s", a.method, a.path, a.status, a.data)
	}
	return nil
}

// call sends a request without headers and returns the status and body of the
// reply.
func (c *Client) call(ctx context.Context, method, path string, body []byte, write bool) (int, []byte, error) {
	a, err := c.exchange(ctx, request{method: method, path: path, body: body, write: write})
	return a.status, a.data, err
}

// callJSON sends in as JSON body, unless it is nil, and decodes the reply into out.
func (c *Client) callJSON(ctx context.Context, method, path string, in, out any, write bool) (int, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return 0, oops.Wrap(err)
		}
	}
	a, err := c.exchange(ctx, request{method: method, path: path, body: body, write: write})
	if err != nil {
		return 0, err
	}
	return a.status, a.decode(out)
}

// GetRequest is the body of POST /table/get.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// CommitRequest is the body of POST /table/commit.
type CommitRequest struct {
	Ops []store.Op `json:"ops"`
}

// ConflictReply is the body of a 409 reply to POST /table/commit.
type ConflictReply struct {
	Key     string    `json:"key"`
	Current store.Row `json:"current"`
}

// Get implements store.Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	var rows []store.Row
	_, err := c.callJSON(ctx, http.MethodPost, "/table/get", GetRequest{Keys: keys}, &rows, false)
	return rows, err
}

// Commit implements store.Table.
func (c *Client) Commit(ctx context.Context, ops []store.Op) error {
	var conflict ConflictReply
	status, err := c.callJSON(ctx, http.MethodPost, "/table/commit", CommitRequest{Ops: ops}, &conflict, true)
	if err != nil {
		return err
	}
	if status == http.StatusConflict {
		return &store.ConflictError{Key: conflict.Key, Current: conflict.Current}
	}
	return nil
}

// Scan implements store.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	var rows []store.Row
	_, err := c.callJSON(ctx, http.MethodGet, "/table/scan?"+pageQuery(prefix, after, limit), nil, &rows, false)
	return rows, err
}

func pageQuery(prefix, after string, limit int) string {
	return url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}.Encode()
}

// Objects returns the client of the object store.
func (c *Client) Objects() *ObjectClient { return &ObjectClient{c} }

// ObjectClient implements store.Objects. It is safe for concurrent use.
type ObjectClient struct{ c *Client }

// Put implements store.Objects.
func (o *ObjectClient) Put(ctx context.Context, name string, data []byte) error {
	status, _, err := o.c.call(ctx, http.MethodPut, "/objects/"+name, data, true)
	switch {
	case err != nil:
		return err
	case status == http.StatusConflict:
		return store.ErrExists
	case status != http.StatusOK:
		return oops.Errorf("platform answered PUT of object %q with status %d", name, status)
	}
	return nil
}

// Get implements store.Objects.
func (o *ObjectClient) Get(ctx context.Context, name string) ([]byte, error) {
	status, data, err := o.c.call(ctx, http.MethodGet, "/objects/"+name, nil, false)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusNotFound:
		return nil, store.ErrNotFound
	case status != http.StatusOK:
		return nil, oops.Errorf("platform answered GET of object %q with status %d", name, status)
	}
	return data, nil
}

// List implements store.Objects.
func (o *ObjectClient) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	var names []string
	_, err := o.c.callJSON(ctx, http.MethodGet, "/objects?"+pageQuery(prefix, after, limit), nil, &names, false)
	return names, err
}
