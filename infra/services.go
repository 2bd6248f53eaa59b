package infra

import (
	"context"
	"net/http"

	"github.com/samber/oops"
)

// VMKind distinguishes entry VMs, which run the daemon, from upstream VMs.
type VMKind string

// Kinds of VMs.
const (
	EntryVM    VMKind = "entry"
	UpstreamVM VMKind = "upstream"
)

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM. A VM that has been removed is not in the list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list of VMs.
type VM struct {
	ID               string  `json:"id"`
	AvailabilityZone string  `json:"availability_zone"`
	Kind             VMKind  `json:"kind"`
	State            VMState `json:"state"`
}

// vmList is the last complete list of VMs that was read, with its entity tag, if any.
type vmList struct {
	etag string
	vms  []VM
}

// VMs returns the platform's list of VMs, which can be out of date. If the platform
// sends an ETag, the list is transferred only when it has changed, because a list
// of thousands of VMs every few seconds would exceed the network budget for
// control traffic. The caller must not modify the list. If the list has malformed
// entries, complete is false, and the list has the VMs of the last complete one that
// it would lack.
func (c *Client) VMs(ctx context.Context) (vms []VM, complete bool, err error) {
	last := c.vms.Load()
	header := http.Header{}
	if last != nil && last.etag != "" {
		header.Set("If-None-Match", last.etag)
	}
	r, err := c.exchange(ctx, request{method: http.MethodGet, path: "/vms", header: header})
	if err != nil {
		return nil, false, err
	}
	if r.status == http.StatusNotModified && last != nil {
		return last.vms, true, nil
	}
	if err := r.checkStatus(); err != nil {
		return nil, false, err
	}
	vms, complete, err = decodeVMs(r.data)
	switch {
	case err != nil:
		return nil, false, oops.Wrapf(err, "platform reply to %s %s", r.method, r.path)
	case complete:
		c.vms.Store(&vmList{r.header.Get("ETag"), vms})
	case last != nil:
		vms = withMissing(vms, last.vms)
	}
	return vms, complete, nil
}

// RatingRequest asks the rating service whether one answer is good.
type RatingRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	Class     string `json:"class"`
	Prompt    string `json:"prompt"`
	Answer    string `json:"answer"`
}

// RatingReply is the verdict of the rating service.
type RatingReply struct {
	Good bool `json:"good"`
}

// Rate asks the rating service whether an answer is good.
func (c *Client) Rate(ctx context.Context, r RatingRequest) (RatingReply, error) {
	var reply RatingReply
	_, err := c.callJSON(ctx, http.MethodPost, "/ratings", r, &reply, false)
	return reply, err
}

// TransferRequest asks the weight store to send a version to an upstream.
type TransferRequest struct {
	Upstream string `json:"upstream"`
}

// TransferReply reports whether the rate limit admitted the transfer and, if not,
// how long to wait before the next request.
type TransferReply struct {
	Admitted     bool  `json:"admitted"`
	RetryAfterMs int64 `json:"retry_after_ms"`
}

// TransferWeights asks the weight store to send version to upstream.
func (c *Client) TransferWeights(ctx context.Context, version, upstream string) (TransferReply, error) {
	var reply TransferReply
	_, err := c.callJSON(ctx, http.MethodPost, "/weights/"+version+"/transfers", TransferRequest{Upstream: upstream}, &reply, true)
	return reply, err
}
