package infra

import (
	"context"
	"net/http"
)

// VMKind tells entry VMs, which run the daemon, from upstream VMs.
type VMKind string

// Kinds of VMs.
const (
	EntryVM    VMKind = "entry"
	UpstreamVM VMKind = "upstream"
)

// VMState is the state of a VM on the platform's list.
type VMState string

// States of a VM. A VM that is gone is no longer on the list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one line of the platform's list of VMs.
type VM struct {
	ID               string  `json:"id"`
	AvailabilityZone string  `json:"availability_zone"`
	Kind             VMKind  `json:"kind"`
	State            VMState `json:"state"`
}

// vmList is the last list that was read, with its entity tag.
type vmList struct {
	tag string
	vms []VM
}

// VMs returns the platform's list, which lags behind the truth. A platform that
// sends an ETag is asked for the list only when it has changed, because a list
// of thousands of VMs each few seconds would exceed the network budget of
// control work. The caller must not modify the list.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	last := c.vms.Load()
	header := http.Header{}
	if last != nil {
		header.Set("If-None-Match", last.tag)
	}
	r, err := c.exchange(ctx, request{method: http.MethodGet, path: "/vms", header: header})
	if err != nil {
		return nil, err
	}
	if r.status == http.StatusNotModified && last != nil {
		return last.vms, nil
	}
	var vms []VM
	if err := r.decode(&vms); err != nil {
		return nil, err
	}
	if tag := r.header.Get("ETag"); tag != "" {
		c.vms.Store(&vmList{tag, vms})
	}
	return vms, nil
}

// RatingRequest asks the rating service for a judgement on one answer.
type RatingRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	Class     string `json:"class"`
	Prompt    string `json:"prompt"`
	Answer    string `json:"answer"`
}

// RatingReply is the judgement.
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

// TransferReply says whether the transfer was admitted by the rate limit.
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
