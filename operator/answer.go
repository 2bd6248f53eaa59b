package operator

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/samber/oops"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/coord/store"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/internal/bodybudget"
	"github.com/savoryshift/savoryshift/internal/check"
	"github.com/savoryshift/savoryshift/internal/clientlimit"
	"github.com/savoryshift/savoryshift/tree"
)

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"error":{"code":"internal"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n')) // An error means that the client has disconnected.
}

// writeError writes the error answer for the kind of err, with the problems of an
// invalid tree and the changes of a conflict.
func writeError(w http.ResponseWriter, err error) {
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
	writeJSON(w, entry.Status, ErrorAnswer{Error: body})
}

// withKind adds a kind to the errors of the settings tree, the change log and the
// store. It returns other errors unchanged.
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

// itemBytes is the memory for a member or an element of a JSON document beyond its bytes.
const itemBytes = 96

// readBody decodes the body as JSON into out. It refuses unknown and duplicate
// keys.
func (s *Server) readBody(r *http.Request, out any) error {
	// The memory is held until the request ends, because its body is used as long.
	done := clientlimit.ReadingBody(r.Context())
	most := s.options.MaxBodyBytes
	memory := clientlimit.Share(r.Context())
	data, err := memory.ReadAll(r.Body, int(max(0, min(r.ContentLength, most))), int(most)+1)
	if err == nil {
		err = memory.Hold(len(data) + itemBytes*check.CountItems(data))
	}
	if lost := done(); lost != nil {
		err = lost
	}
	if errors.Is(err, bodybudget.ErrFull) {
		return errkind.New(errkind.NoCapacity, "this daemon has no memory for the body of the request")
	}
	if _, tooLarge := errors.AsType[*http.MaxBytesError](err); tooLarge {
		return errkind.Wrap(errkind.PayloadTooLarge, err)
	}
	if err != nil {
		return errkind.Wrap(errkind.BadRequest, err)
	}
	return errkind.Wrap(errkind.BadRequest, check.Decode(data, out))
}
