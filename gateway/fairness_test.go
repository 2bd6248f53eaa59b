package gateway

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against less urgent routes that are served first because an organisation is over its
// fair part, and against priorities that engines do not know.
func TestFairPartsKeepTheOrderOfRoutes(t *testing.T) {
	priority := func(urgency, runs int, over bool) int {
		return (&streamExecution{execution: &execution{priority: urgency, runs: runs}}).enginePriority(over)
	}
	for urgency := range 8 {
		for runs := range 3 {
			within, over := priority(urgency, runs, false), priority(urgency, runs, true)
			assert.Assert(t, within >= 0 && within <= over && over <= maxEnginePriority, "%d, %d", urgency, runs)
			assert.Assert(t, over < priority(urgency+1, 0, false) || over == maxEnginePriority, "%d, %d", urgency, runs)
		}
	}
	assert.Equal(t, priority(0, 0, true), priority(0, 0, false)+1)
}
