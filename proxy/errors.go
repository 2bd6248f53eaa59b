package proxy

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
)

// retryAfter is the delay suggested to a caller whose request may succeed on a
// retry.
const retryAfter = 500 * time.Millisecond

// ErrorBody is the JSON body of an error response, in the format of the OpenAI
// API with additional fields of this router.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes one error. RetryAfterMs is set when Retry is true.
type ErrorDetail struct {
	Message      string       `json:"message"`
	Type         string       `json:"type"`
	Code         errkind.Kind `json:"code"`
	Param        *string      `json:"param"`
	Ran          errkind.Ran  `json:"ran"`
	Retry        bool         `json:"retry"`
	RetryAfterMs int64        `json:"retry_after_ms,omitempty"`
	RequestID    string       `json:"request_id"`
}

func errorBody(err error, requestID string) ErrorBody {
	kind := errkind.Of(err)
	answer := errkind.AnswerFor(kind)
	detail := ErrorDetail{
		Message:   err.Error(),
		Type:      answer.Type,
		Code:      kind,
		Ran:       errkind.RanOf(err),
		Retry:     answer.Retry,
		RequestID: requestID,
	}
	if answer.Retry {
		detail.RetryAfterMs = retryDelay(err).Milliseconds()
	}
	return ErrorBody{Error: detail}
}

// retryDelay returns the delay suggested to a caller.
func retryDelay(err error) time.Duration {
	if q, ok := errors.AsType[*quarantinedError](err); ok {
		return q.RetryAfter
	}
	return retryAfter
}

// WriteRefusal answers a request that no handler has seen, with an error that says so.
func WriteRefusal(w http.ResponseWriter, err error) {
	body := errorBody(err, newRequestID())
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequestID, body.Error.RequestID)
	header.Set("Retry-After", strconv.FormatInt(max(1, body.Error.RetryAfterMs/1000), 10))
	w.WriteHeader(errkind.AnswerFor(body.Error.Code).Status)
	// An error means that the caller has left.
	_ = json.NewEncoder(w).Encode(body)
}

// writeError sends the status and the body that belong to the kind of err.
func writeError(w *callerResponse, r *request, err error) {
	body := errorBody(err, r.id)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if body.Error.Retry {
		header.Set("Retry-After", strconv.FormatInt(max(1, body.Error.RetryAfterMs/1000), 10))
	}
	data, marshalErr := json.Marshal(body)
	if marshalErr != nil {
		return // the members of ErrorBody can be encoded
	}
	// A response that was not sent to its end is logged by finish.
	_ = w.writeWhole(r.Context(), r.Method, errkind.AnswerFor(body.Error.Code).Status, append(data, '\n'))
}
