package entry

import (
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/fleet"
	"github.com/savoryshift/savoryshift/mirror"
)

// Guards against peers that get no table, or one of another era, because revisions of two eras
// are compared.
func TestPeersAskAcrossEras(t *testing.T) {
	m := mirror.New(mirror.Options{Name: tableOrders, Log: zap.NewNop()})
	e := &Entry{tables: map[string]*table{tableOrders: {Mirror: m}}}
	ask := func(era, after int64, loaded bool) fleet.TableReply {
		return e.Table(fleet.TableRequest{Table: tableOrders, Era: era, After: after, Loaded: loaded})
	}
	assert.Assert(t, !ask(0, 0, false).Newer, "nothing to tell")
	m.Offer(mirror.Page{Era: 2, Revision: 8, Rows: []mirror.Row{{Key: "a", Revision: 7}}}, true)
	for name, c := range map[string]struct {
		reply        fleet.TableReply
		newer, whole bool
	}{
		"without a copy":                  {ask(0, 0, false), true, true},
		"a build before eras":             {ask(0, 40, true), true, true},
		"higher revision, earlier era":    {ask(1, 40, true), true, true},
		"lower revision, same era":        {ask(2, 4, true), true, true},
		"same":                            {ask(2, 8, true), false, false},
		"lower revision of the later era": {ask(3, 4, true), false, false},
	} {
		assert.Equal(t, c.reply.Newer, c.newer, name)
		assert.Equal(t, c.reply.Whole, c.whole, name)
		assert.Assert(t, !c.newer || c.reply.Page.Era == 2, name)
	}
}
