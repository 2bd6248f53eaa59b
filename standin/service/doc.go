// Package service emulates an ordinary booking service, which is not a model
// engine. POST /bookings is not idempotent: the service creates a new booking for
// every call that it executes and ignores the idempotency key, so that tests can
// detect a call that was executed twice.
package service
