package operatortest

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"sync"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/coord/store"
	"github.com/savoryshift/savoryshift/operator"
	"github.com/savoryshift/savoryshift/settings"
)

// Tokens of the two operators that Tokens returns.
const (
	EditorToken = "editor-token"
	ViewerToken = "viewer-token"
)

// Log is an in-memory operator.ChangeLog.
type Log struct {
	mu      sync.Mutex
	changes []changelog.Change
	down    bool
}

// SetDown makes all calls fail with store.ErrUnavailable.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Append implements operator.ChangeLog.
func (l *Log) Append(_ context.Context, c changelog.Change) (changelog.Change, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return changelog.Change{}, store.ErrUnavailable
	}
	for _, old := range l.changes {
		if old.ID == c.ID {
			return old, nil
		}
	}
	head := l.head()
	if c.Base != head.Revision {
		return changelog.Change{}, &changelog.ConflictError{Base: c.Base, Head: head, Others: l.changes[min(c.Base, head.Revision):head.Revision:head.Revision]}
	}
	sum := sha256.Sum256(append([]byte(head.Hash), c.Patch...))
	c.Revision, c.Prev, c.Hash = head.Revision+1, head.Hash, hex.EncodeToString(sum[:])
	l.changes = append(l.changes, c)
	return c, nil
}

func (l *Log) head() changelog.Head {
	if len(l.changes) == 0 {
		return changelog.Head{}
	}
	last := l.changes[len(l.changes)-1]
	return changelog.Head{Revision: last.Revision, Hash: last.Hash}
}

// Head implements operator.ChangeLog.
func (l *Log) Head(context.Context) (changelog.Head, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return changelog.Head{}, store.ErrUnavailable
	}
	return l.head(), nil
}

// Changes implements operator.ChangeLog.
func (l *Log) Changes(_ context.Context, after int64, limit int) ([]changelog.Change, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, store.ErrUnavailable
	}
	start := min(after, int64(len(l.changes)))
	end := min(start+int64(limit), int64(len(l.changes)))
	return l.changes[start:end:end], nil
}

// Daemon is the rest of a daemon: acceptance, halts and status. Its zone
// tt-tucker acknowledges a revision when it has been asked for Lag times.
type Daemon struct {
	mu             sync.Mutex
	MissingReports int
	Halts          []operator.Halt
}

// Missing implements operator.Acceptance.
func (d *Daemon) Missing(int64) (zones, vms []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.MissingReports <= 0 {
		return nil, nil
	}
	d.MissingReports--
	return []string{"tt-tucker"}, []string{"entry-3"}
}

// Halt implements operator.Halter.
func (d *Daemon) Halt(_ context.Context, h operator.Halt, _ string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Halts = append(d.Halts, h)
	return nil
}

// Status implements operator.StatusSource.
func (d *Daemon) Status() operator.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return operator.Status{VM: "entry-1", AvailabilityZone: "tt-arima", Region: "tt-north", Halts: d.Halts,
		Members: []operator.Member{{VM: "entry-3", AvailabilityZone: "tt-tucker"}}}
}

// Tokens returns an editor named ana and a viewer named rui.
func Tokens() []settings.OperatorToken {
	digest := func(s string) string {
		sum := sha256.Sum256([]byte(s))
		return hex.EncodeToString(sum[:])
	}
	return []settings.OperatorToken{
		{Name: "ana", SHA256: digest(EditorToken), Role: settings.Editor},
		{Name: "rui", SHA256: digest(ViewerToken), Role: settings.Viewer},
	}
}

// Transport answers requests by calling a handler, without a network.
type Transport struct{ Handler http.Handler }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil {
		r.Body = http.NoBody
	}
	w := httptest.NewRecorder()
	t.Handler.ServeHTTP(w, r)
	return w.Result(), nil
}
