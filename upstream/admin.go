package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"

	"github.com/savoryshift/savoryshift/errkind"
)

// maxAdminBytes bounds the response to every engine call other than a
// completion.
const maxAdminBytes = 4 << 20

// maxReported bounds the numbers of a load report and the ages of cache events, so that sums and durations of
// them cannot overflow.
const maxReported = 1 << 30

// Refuses reports whether the host of an upstream refuses a connection at once, because no
// process listens there.
func (c *Client) Refuses(ctx context.Context, base string) bool {
	u, err := url.Parse(base)
	if err != nil {
		return false
	}
	port := u.Port()
	if port == "" {
		port = "80"
	}
	conn, err := c.options.Dial(ctx, "tcp", net.JoinHostPort(u.Hostname(), port))
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Cancel tells an engine to stop an attempt. It succeeds when the attempt is
// unknown to the engine or has already ended.
func (c *Client) Cancel(ctx context.Context, base, attemptID string) error {
	return c.adminCall(ctx, http.MethodDelete, base+PathAttempts+url.PathEscape(attemptID), nil, nil)
}

// Load returns the load report of an engine.
func (c *Client) Load(ctx context.Context, base string) (LoadReport, error) {
	var report LoadReport
	err := c.adminCall(ctx, http.MethodGet, base+PathLoad, nil, &report)
	if err != nil {
		return LoadReport{}, err
	}
	for _, n := range []int64{int64(report.Slots), int64(report.Running), int64(report.Queued), report.AgeMs} {
		if n < 0 || n > maxReported {
			return LoadReport{}, invalidResponse("load report has %d, the range is 0 to %d", n, int64(maxReported))
		}
	}
	return report, nil
}

// CacheEvents returns the cache events of an engine with a sequence number
// above after.
func (c *Client) CacheEvents(ctx context.Context, base string, after int64) (CacheEventsReply, error) {
	var reply CacheEventsReply
	err := c.adminCall(ctx, http.MethodGet, base+PathCacheEvents+"?after="+strconv.FormatInt(after, 10), nil, &reply)
	if err != nil {
		return CacheEventsReply{}, err
	}
	for _, e := range reply.Events {
		if e.AgeMs < 0 || e.AgeMs > maxReported {
			return CacheEventsReply{}, invalidResponse("cache event has the age %d ms, the range is 0 to %d", e.AgeMs, int64(maxReported))
		}
	}
	return reply, nil
}

// Order tells an engine which versions to hold. An engine that has seen a
// higher fencing token refuses with kind errkind.Conflict.
func (c *Client) Order(ctx context.Context, base string, order Order) error {
	return c.adminCallChecked(ctx, http.MethodPost, base+PathOrders, order, nil, order.BeforeWrite)
}

// Held returns the versions that an engine holds.
func (c *Client) Held(ctx context.Context, base string) ([]string, error) {
	var held []string
	err := c.adminCall(ctx, http.MethodGet, base+PathHeld, nil, &held)
	return held, err
}

// CheckReachable checks that a plain service answers an HTTP request, with any
// status.
func (c *Client) CheckReachable(ctx context.Context, base string) error {
	ctx, cancel := context.WithTimeout(ctx, AdminTimeout)
	defer cancel()
	x, err := c.send(ctx, outgoingRequest{method: http.MethodHead, url: base + "/", repeatable: true})
	if err != nil {
		return err
	}
	x.release()
	return nil
}

func (c *Client) adminCall(ctx context.Context, method, target string, in, out any) error {
	return c.adminCallChecked(ctx, method, target, in, out, nil)
}

// adminCallChecked makes one small JSON call to an engine, with a check before
// the first write. The call may be retransmitted, because all of these calls
// are idempotent.
func (c *Client) adminCallChecked(ctx context.Context, method, target string, in, out any, beforeWrite func() error) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return errkind.Wrap(errkind.Internal, err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, AdminTimeout)
	defer cancel()
	header := http.Header{"Content-Type": {"application/json"}}
	x, err := c.send(ctx, outgoingRequest{method: method, url: target, header: header, body: body, repeatable: true, beforeWrite: beforeWrite})
	if err != nil {
		return err
	}
	defer x.release()
	data, err := x.readAll(c.buffers, maxAdminBytes)
	if err != nil {
		return err
	}
	switch {
	case x.resp.StatusCode == http.StatusConflict:
		return errkind.New(errkind.Conflict, "engine refused %s: %s", target, errorMessage(data))
	case x.resp.StatusCode/100 != 2:
		return errkind.Wrap(errkind.UpstreamFailed, &ReportedError{Status: x.resp.StatusCode, Message: errorMessage(data)})
	case out == nil:
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return invalidResponse("answer to %s: %w", target, err)
	}
	return nil
}
