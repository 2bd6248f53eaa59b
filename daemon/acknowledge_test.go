package daemon

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/tree"
)

// Guards against settings that count as in force before requests are routed by them.
func TestSettingsAreAcknowledgedBeforeTheyRoute(t *testing.T) {
	d, err := New(Options{Settings: loopbackSettings()})
	assert.NilError(t, err)
	table := memstore.New()
	d.config.log = changelog.New(changelog.Options{Table: table, Objects: table.Objects(), Apply: tree.ApplyPatch})
	self := []string{d.config.members.Self().ID}
	for i, patch := range []string{`{"versions":{"v":{"model":"m"}}}`, `{"versions":{"w":{"model":"m"}}}`} {
		c := changelog.Change{ID: fmt.Sprint(i), Author: "operator", Base: int64(i), Patch: []byte(patch)}
		_, err := d.config.log.Append(t.Context(), c)
		assert.NilError(t, err)
		d.config.load(t.Context())
		revision := int64(i + 1)
		assert.Equal(t, d.config.Snapshot().Revision(), revision)
		assert.DeepEqual(t, d.config.node.Unacknowledged(revision), self)
		d.control.step(t.Context(), time.Now())
		assert.Equal(t, d.routing.view.Load().snapshot.Revision(), revision)
		assert.Equal(t, len(d.config.node.Unacknowledged(revision)), 0)
	}
}
