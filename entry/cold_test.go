package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/platform"
	"github.com/savoryshift/savoryshift/routing"
)

// Guards against limits in deployments that do not have the rule in full, and against a bound
// other than the stated one.
func TestColdLimitsNeedAllValues(t *testing.T) {
	s := &routing.Snapshot{Configuration: routing.Configuration{Services: []routing.Service{
		{Name: "a", ColdStart: time.Second, ColdPerSecond: 10}, {Name: "b", ColdStart: time.Second}, {Name: "c", ColdPerSecond: 10},
	}}}
	assert.DeepEqual(t, coldLimits(s, platform.Bounds{ColdRatio: 1.5, ColdSlack: 5}), map[string]placement.ColdLimit{"a": {Start: time.Second, Bound: 20}})
	assert.Equal(t, len(coldLimits(s, platform.Bounds{ColdSlack: 5})), 0)
}
