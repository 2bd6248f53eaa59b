package exchange

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/savoryshift/savoryshift/internal/sockopt"
)

// Framing is what ends the body of a response.
type Framing string

const (
	// NoBody: the response has no body, whatever its header says.
	NoBody   Framing = "no body"
	ByLength Framing = "length"
	ByChunks Framing = "chunks"
	// ByConnection: the end of the connection ends the body. Whether an upstream that
	// closes the connection has sent the whole body cannot be known. The body is broken if
	// the request was not delivered completely before.
	ByConnection Framing = "end of connection"
)

// errNothingSent is the error of a body without a length and without chunks whose
// connection ends before its first byte. An upstream that stops after the header leaves
// the same bytes.
var errNothingSent = errors.New("the connection ended before the first byte of a body without a length")

// errUploadUnfinished is the error of a body without a length and without chunks whose
// connection ends before the upstream has received the whole request.
var errUploadUnfinished = errors.New("the connection ended during the upload, before the end of a body without a length was known")

// framingOf returns the framing of a response to a request with the method.
func framingOf(method string, resp *http.Response) Framing {
	switch {
	case method == http.MethodHead || !bodyAllowed(resp.StatusCode):
		return NoBody
	case len(resp.TransferEncoding) > 0:
		return ByChunks
	case resp.ContentLength >= 0:
		return ByLength
	}
	return ByConnection
}

// Framing returns what ends the body of the response.
func (r *Reply) Framing() Framing { return r.framing }

// Read reads from the response body and records when its end is reached. Later reads return
// the same error: after a reset the connection reports only its end.
func (r *Reply) Read(b []byte) (int, error) {
	if r.endErr != nil {
		return 0, r.endErr
	}
	n, err := r.Body.Read(b)
	r.bodyBegun = r.bodyBegun || n > 0
	if err == io.EOF && r.framing == ByConnection {
		err = r.checkEnd()
	}
	r.endErr, r.complete = err, err == io.EOF
	return n, err
}

// checkEnd returns io.EOF if the end of the connection ends the body, and the reason if it
// does not. The kernel reports a reset once. If a write gets the error, the read gets io.EOF,
// as after an orderly close. So an end counts only if the request was written without an
// error and all of it was acknowledged. An orderly close by an upstream that has read the
// request acknowledges it at the latest.
func (r *Reply) checkEnd() error {
	if !r.bodyBegun {
		return errNothingSent
	}
	if r.bodyWritten != nil {
		// Ends a write that still waits for the upstream.
		_ = r.conn.SetWriteDeadline(time.Unix(1, 0))
		if err := <-r.bodyWritten; err != nil {
			return errors.Join(errUploadUnfinished, err)
		}
	}
	if sockopt.HasUnacked(r.conn.Conn) {
		return errUploadUnfinished
	}
	return io.EOF
}
