package upstream

import "context"

// ForwardOnKept sends a call as Forward does, but on a connection that may have been
// used before.
func (c *Client) ForwardOnKept(ctx context.Context, call ServiceCall) (ServiceResult, error) {
	return c.forward(ctx, call, false)
}
