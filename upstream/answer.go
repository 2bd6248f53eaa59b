package upstream

import (
	"encoding/json"
	"io"
	"net/http"
	"unicode/utf8"

	"github.com/savoryshift/savoryshift/errkind"
)

// checkHeader checks the status of a response, and that its ids and version are
// those of the call. For an error status see checkRefusal.
func (x *exchange) checkHeader(call Call) error {
	h := x.resp.Header
	if x.resp.StatusCode != http.StatusOK {
		return x.checkRefusal(call)
	}
	for _, echo := range []struct{ name, want string }{
		{HeaderRequestID, call.RequestID}, {HeaderAttemptID, call.AttemptID}, {HeaderVersion, call.Version},
	} {
		if !hasOnly(h, echo.name, echo.want) {
			x.closeConn()
			return invalidResponse("answer has %s %q, the call has %q", echo.name, h.Values(echo.name), echo.want)
		}
	}
	return nil
}

// hasOnly reports whether the header has exactly one field of the name, with the
// given value.
func hasOnly(h http.Header, name, value string) bool {
	got := h.Values(name)
	return len(got) == 1 && got[0] == value
}

// checkRefusal converts a response with an error status into an error. The
// error says "not run" only if the response has the header X-Ran: no and the
// ids of the call, because a refusal of another attempt proves nothing about
// this one. A connection that carried it may be one response behind, so it is not
// used again.
func (x *exchange) checkRefusal(call Call) error {
	h := x.resp.Header
	body, _ := io.ReadAll(io.LimitReader(x.resp.Body, maxErrorBytes))
	sameAttempt := hasOnly(h, HeaderRequestID, call.RequestID) && hasOnly(h, HeaderAttemptID, call.AttemptID)
	if !sameAttempt {
		x.closeConn()
	}
	if sameAttempt && hasOnly(h, HeaderRan, string(errkind.RanNo)) {
		return errkind.Wrap(errkind.UpstreamRefused, &RefusedError{
			Status: x.resp.StatusCode, Leaving: h.Get(HeaderLeaving) == "true", Message: errorMessage(body),
		})
	}
	return errkind.Wrap(errkind.UpstreamFailed, &ReportedError{Status: x.resp.StatusCode, Message: errorMessage(body)})
}

// errorMessage extracts the message of an OpenAI-compatible error body.
func errorMessage(body []byte) string {
	var parsed struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &parsed) == nil && parsed.Error.Message != "" {
		return parsed.Error.Message
	}
	return "no message"
}

// chatCompletion holds the members of a complete response that are checked or
// used.
type chatCompletion struct {
	Model   string `json:"model"`
	Choices []struct {
		Message *struct {
			Role string `json:"role"`
		} `json:"message"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// parseCompletion decodes a chat completion and checks that it is complete.
func parseCompletion(body []byte) (chatCompletion, error) {
	var a chatCompletion
	if !utf8.Valid(body) {
		return a, invalidResponse("answer is not valid UTF-8")
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return a, invalidResponse("answer is not a chat completion: %w", err)
	}
	if len(a.Choices) == 0 {
		return a, invalidResponse("answer has no choices")
	}
	for i, choice := range a.Choices {
		if choice.Message == nil || choice.FinishReason == nil || *choice.FinishReason == "" {
			return a, invalidResponse("choice %d of the answer is not complete", i)
		}
	}
	if a.Usage == nil || a.Usage.PromptTokens < 0 || a.Usage.CompletionTokens < 0 {
		return a, invalidResponse("answer has no valid usage")
	}
	return a, nil
}
