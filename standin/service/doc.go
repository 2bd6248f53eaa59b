// Package service emulates a plain booking service. A booking is not
// idempotent: the service makes a new one for every call that it executes,
// whatever its idempotency key, so a call that was sent twice shows.
package service
