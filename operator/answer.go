package operator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/samber/oops"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/coord/store"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/internal/check"
	"github.com/savoryshift/savoryshift/tree"
)

func answer(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"error":{"code":"internal"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n')) // the client is gone
}

// answerError writes the answer of the error's kind, with the problems of a
// tree and the changes of a conflict.
func answerError(w http.ResponseWriter, err error) {
	err = withKind(err)
	kind := errkind.Of(err)
	entry := errkind.AnswerFor(kind)
	body := ErrorBody{Message: err.Error(), Type: entry.Type, Code: kind, Ran: errkind.RanOf(err), Retry: entry.Retry}
	if problems, ok := errors.AsType[tree.Problems](err); ok {
		body.Problems = problems
	}
	if conflict, ok := errors.AsType[*changelog.ConflictError](err); ok {
		body.Conflict = &Conflict{Base: conflict.Base, Head: conflict.Head, Others: changesOf(conflict.Others)}
	}
	answer(w, entry.Status, ErrorAnswer{Error: body})
}

// withKind gives a kind to the errors of the change log and the store.
func withKind(err error) error {
	if _, ok := errors.AsType[*changelog.ConflictError](err); ok {
		return errkind.Wrap(errkind.Conflict, err)
	}
	if _, ok := errors.AsType[tree.Problems](err); ok {
		return errkind.Wrap(errkind.BadRequest, err)
	}
	if _, ok := errors.AsType[*changelog.IDReusedError](err); ok {
		return errkind.Wrap(errkind.BadRequest, err)
	}
	if _, ok := errors.AsType[*changelog.InvalidChangeError](err); ok {
		return errkind.Wrap(errkind.BadRequest, err)
	}
	switch {
	case errors.Is(err, store.ErrUnknown):
		return errkind.Wrap(errkind.OutcomeUnknown, oops.Wrapf(err, "whether the change is in the log is unknown; the same id again is harmless"))
	case errors.Is(err, store.ErrUnavailable):
		return errkind.Wrap(errkind.Isolated, oops.Wrapf(err, "the platform can't be reached; nothing was changed"))
	}
	return err
}

// readBody decodes the body strictly into out.
func readBody(r *http.Request, out any) error {
	data, err := io.ReadAll(r.Body)
	if _, tooLarge := errors.AsType[*http.MaxBytesError](err); tooLarge {
		return errkind.Wrap(errkind.PayloadTooLarge, err)
	}
	if err != nil {
		return errkind.Wrap(errkind.BadRequest, err)
	}
	return errkind.Wrap(errkind.BadRequest, check.Decode(data, out))
}
