package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
)

// retryAfter is suggested to a caller whose request can succeed later.
const retryAfter = 500 * time.Millisecond

// ErrorBody is the JSON body of an error answer, in the shape of the OpenAI
// API with fields of this router added.
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
		detail.RetryAfterMs = retryAfter.Milliseconds()
	}
	return ErrorBody{Error: detail}
}

// writeError answers with the status and body that belong to the kind of err.
func writeError(w http.ResponseWriter, err error, requestID string) {
	body := errorBody(err, requestID)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if body.Error.Retry {
		header.Set("Retry-After", strconv.FormatInt(max(1, body.Error.RetryAfterMs/1000), 10))
	}
	w.WriteHeader(errkind.AnswerFor(body.Error.Code).Status)
	// The status line is sent; a write error means that the caller is gone.
	_ = json.NewEncoder(w).Encode(body)
}
