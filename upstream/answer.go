package upstream

import (
	"encoding/json"
	"io"
	"net/http"
	"unicode/utf8"

	"github.com/savoryshift/savoryshift/errkind"
)

// checkHeader checks the ids, the version and the status of an answer. The ids
// come first: a refusal that belongs to another attempt proves nothing.
func (x *exchange) checkHeader(call Call) error {
	h := x.resp.Header
	if x.resp.StatusCode != http.StatusOK {
		return x.checkRefusal(call)
	}
	for _, echo := range []struct{ name, want string }{
		{HeaderRequestID, call.RequestID}, {HeaderAttemptID, call.AttemptID}, {HeaderVersion, call.Version},
	} {
		if got := h.Values(echo.name); len(got) != 1 || got[0] != echo.want {
			return invalid("answer has %s %q, the call has %q", echo.name, got, echo.want)
		}
	}
	return nil
}

// checkRefusal turns an answer with an error status into an error.
func (x *exchange) checkRefusal(call Call) error {
	h := x.resp.Header
	body, _ := io.ReadAll(io.LimitReader(x.resp.Body, maxErrorBytes))
	own := h.Get(HeaderRequestID) == call.RequestID && h.Get(HeaderAttemptID) == call.AttemptID
	if own && h.Get(HeaderRan) == string(errkind.RanNo) {
		return errkind.Wrap(errkind.UpstreamRefused, &RefusedError{
			Status: x.resp.StatusCode, Leaving: h.Get(HeaderLeaving) == "true", Message: errorMessage(body),
		})
	}
	return errkind.Wrap(errkind.UpstreamFailed, &AnsweredError{Status: x.resp.StatusCode, Message: errorMessage(body)})
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

// wholeAnswer is what is read of a whole chat completion.
type wholeAnswer struct {
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

// parseAnswer checks that a whole answer is complete.
func parseAnswer(body []byte) (wholeAnswer, error) {
	var a wholeAnswer
	if !utf8.Valid(body) {
		return a, invalid("answer is not valid UTF-8")
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return a, invalid("answer is not a chat completion: %w", err)
	}
	if len(a.Choices) == 0 {
		return a, invalid("answer has no choices")
	}
	for i, choice := range a.Choices {
		if choice.Message == nil || choice.FinishReason == nil || *choice.FinishReason == "" {
			return a, invalid("choice %d of the answer is not complete", i)
		}
	}
	if a.Usage == nil || a.Usage.PromptTokens < 0 || a.Usage.CompletionTokens < 0 {
		return a, invalid("answer has no valid usage")
	}
	return a, nil
}
