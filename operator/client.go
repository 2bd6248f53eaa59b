package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"
)

const (
	// maxAnswerBytes bounds the bytes that are read of one answer.
	maxAnswerBytes = 64 << 20
	// DefaultTimeout bounds one call of the client.
	DefaultTimeout = 10 * time.Second
	// DefaultPollPeriod is the time between two reads of the state of a change.
	DefaultPollPeriod = 200 * time.Millisecond
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// URL is the base URL of a daemon's operator listener.
	URL string
	// Token is the operator token.
	Token string
	// HTTP defaults to a client with DefaultTimeout.
	HTTP *http.Client
	// PollPeriod defaults to DefaultPollPeriod.
	PollPeriod time.Duration
}

// Client calls the operator API of one daemon. It is safe for concurrent use.
type Client struct {
	base       string
	token      string
	http       *http.Client
	pollPeriod time.Duration
}

// NewClient returns a client.
func NewClient(o ClientOptions) *Client {
	if o.HTTP == nil {
		o.HTTP = &http.Client{Timeout: DefaultTimeout}
	}
	if o.PollPeriod == 0 {
		o.PollPeriod = DefaultPollPeriod
	}
	return &Client{strings.TrimSuffix(o.URL, "/"), o.Token, o.HTTP, o.PollPeriod}
}

// APIError is an error answer of the daemon.
type APIError struct {
	Status int
	ErrorBody
}

func (e *APIError) Error() string {
	text := fmt.Sprintf("%s (%s, status %d)", e.Message, e.Code, e.Status)
	if e.Conflict != nil {
		for _, c := range e.Conflict.Others {
			text += fmt.Sprintf("\n  revision %d by %s: %s\n    %s", c.Revision, c.Author, c.Reason, c.Patch)
		}
	}
	return text
}

// call sends a request with in as JSON body, unless in is nil, and decodes the
// answer.
func call[T any](ctx context.Context, c *Client, method, path string, in any) (T, error) {
	var out T
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return out, oops.Wrap(err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return out, oops.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return out, oops.Wrapf(err, "operator API")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return out, oops.Wrapf(err, "operator API")
	}
	if resp.StatusCode != http.StatusOK {
		return out, apiError(resp.StatusCode, data)
	}
	return out, oops.Wrapf(json.Unmarshal(data, &out), "answer of the operator API")
}

func apiError(status int, data []byte) error {
	var body ErrorAnswer
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		return oops.Errorf("operator API answered with status %d: %.200s", status, data)
	}
	return &APIError{Status: status, ErrorBody: body.Error}
}

// queryString encodes pairs of a name and a value. It omits empty values.
func queryString(pairs ...any) string {
	values := url.Values{}
	for i := 0; i < len(pairs); i += 2 {
		if text := fmt.Sprint(pairs[i+1]); text != "" {
			values.Set(pairs[i].(string), text)
		}
	}
	return "?" + values.Encode()
}

// Tree returns the settings tree at a revision; 0 means the head.
func (c *Client) Tree(ctx context.Context, revision int64) (TreeAnswer, error) {
	return call[TreeAnswer](ctx, c, http.MethodGet, "/v1/tree"+queryString("revision", revision), nil)
}

// Effective returns the effective values of a session at a revision; 0 means the
// head. An empty session stands for all sessions that the tree doesn't name.
func (c *Client) Effective(ctx context.Context, organisation, service, session string, revision int64) (EffectiveAnswer, error) {
	q := queryString("organisation", organisation, "service", service, "session", session, "revision", revision)
	return call[EffectiveAnswer](ctx, c, http.MethodGet, "/v1/effective"+q, nil)
}

// Diff compares two revisions. If to is 0, it compares with the head.
func (c *Client) Diff(ctx context.Context, from, to int64) (DiffAnswer, error) {
	return call[DiffAnswer](ctx, c, http.MethodGet, "/v1/diff"+queryString("from", from, "to", to), nil)
}

// Changes returns up to limit changes above revision after, or the newest ones if
// after is negative. If limit is 0, it is DefaultPageSize.
func (c *Client) Changes(ctx context.Context, after int64, limit int) (Page, error) {
	q := queryString("limit", limit)
	if after >= 0 {
		q = queryString("limit", limit, "after", after)
	}
	return call[Page](ctx, c, http.MethodGet, "/v1/changes"+q, nil)
}

// ChangeStatus returns the state of a change.
func (c *Client) ChangeStatus(ctx context.Context, revision int64) (ChangeStatus, error) {
	return call[ChangeStatus](ctx, c, http.MethodGet, "/v1/changes/"+strconv.FormatInt(revision, 10)+"/status", nil)
}

// Propose appends an edit to the change log. The error is an *APIError with a
// Conflict when another change was appended since the base of the edit.
func (c *Client) Propose(ctx context.Context, e Edit) (EditResult, error) {
	return call[EditResult](ctx, c, http.MethodPost, "/v1/changes", e)
}

// Withdraw stops new work for a version.
func (c *Client) Withdraw(ctx context.Context, version string, a Action) (EditResult, error) {
	return call[EditResult](ctx, c, http.MethodPost, "/v1/versions/"+url.PathEscape(version)+"/withdraw", a)
}

// Rollout applies one step to a rollout: start, pause, continue or abort.
func (c *Client) Rollout(ctx context.Context, id, step string, a Action) (EditResult, error) {
	return call[EditResult](ctx, c, http.MethodPost, "/v1/rollouts/"+url.PathEscape(id)+"/"+url.PathEscape(step), a)
}

// Drain starts or, with Undo, ends the draining of an upstream. A draining
// upstream receives no new work.
func (c *Client) Drain(ctx context.Context, upstream string, a Action) (EditResult, error) {
	return call[EditResult](ctx, c, http.MethodPost, "/v1/upstreams/"+url.PathEscape(upstream)+"/drain", a)
}

// Halt sets a halt mark on a version, the target of a rollout.
func (c *Client) Halt(ctx context.Context, h HaltRequest) (Halt, error) {
	return call[Halt](ctx, c, http.MethodPost, "/v1/halts", h)
}

// Status returns the status of the daemon.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

// WaitAccepted returns when a change is in force on all daemons. Until then it
// calls waiting with each new state; waiting may be nil.
func (c *Client) WaitAccepted(ctx context.Context, revision int64, waiting func(ChangeStatus)) (ChangeStatus, error) {
	ticker := time.NewTicker(c.pollPeriod)
	defer ticker.Stop()
	shown := ""
	for {
		status, err := c.ChangeStatus(ctx, revision)
		if err != nil || status.State == Accepted {
			return status, err
		}
		if text := fmt.Sprint(status); text != shown && waiting != nil {
			shown = text
			waiting(status)
		}
		select {
		case <-ctx.Done():
			return status, oops.Wrapf(ctx.Err(), "revision %d is committed, but not yet in force everywhere", revision)
		case <-ticker.C:
		}
	}
}
