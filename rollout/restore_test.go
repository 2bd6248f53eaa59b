package rollout

import (
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

func noOldCalls(string, string) int { return 0 }

// ended returns a manager that knows an ended rollout by the order of revision 10, stored
// at revision 12.
func ended(state State) *Manager {
	m := managerWithOrder()
	m.SetProgress(Progress{Service: "s", Release: "v2", State: Running, Order: 10}, 11, begin)
	m.SetProgress(Progress{Service: "s", Release: "v2", State: state, Order: 10}, 12, begin)
	return m
}

func (m *Manager) stateOf(name string) State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.services[name].state()
}

// Guards against an ended rollout that runs again because the restored store has lost its
// end, its beginning or its order, and against a state that is not written again.
func TestEndedRolloutRunsAgain(t *testing.T) {
	order := Order{Service: "s", Release: "v2", Duration: duration, Revision: 10, Era: 1, Base: 11}
	for name, restore := range map[string]func(m *Manager) (expected int64){
		"its end is lost": func(m *Manager) int64 {
			m.SetOrder(order, at(1))
			m.SetProgress(Progress{Service: "s", Release: "v2", State: Running, Order: 10}, 11, begin)
			return 11
		},
		"its progress is lost": func(m *Manager) int64 { m.SetOrder(order, at(1)); return 0 },
		"its order is lost":    func(*Manager) int64 { return 0 },
		"another VM has written that it runs": func(m *Manager) int64 {
			m.SetOrder(order, at(1))
			m.SetProgress(Progress{Service: "s", Release: "v2", State: Running, Order: 10, Era: 1}, 13, at(1))
			return 13
		},
		"a lost order was in force": func(m *Manager) int64 {
			m.SetProgress(Progress{Service: "s", Release: "v1", State: Done, Order: 4}, 5, begin)
			return 5
		},
	} {
		for _, state := range []State{Done, RolledBack} {
			t.Run(name+"/"+string(state), func(t *testing.T) {
				m := ended(state)
				m.BeginEra(1, 11)
				expected := restore(m)
				assert.Equal(t, m.stateOf("s"), state)
				due := m.DueWrites(at(1.1), 0, 0, noOldCalls)
				assert.Equal(t, len(due), 1)
				assert.Equal(t, due[0].ExpectedRevision, expected)
				assert.Equal(t, due[0].Progress.State, state)
				m.SetWritten(due[0], 1, 14, at(1.1))
				assert.Equal(t, len(m.DueWrites(at(1.2), 0, 0, noOldCalls)), 0)

				rewritten := order
				rewritten.Revision = 15
				m.SetOrder(rewritten, at(1.2))
				assert.Equal(t, m.stateOf("s"), state, "the operator has written the order again")
				due = m.DueWrites(at(1.3), 0, 0, noOldCalls)
				assert.Equal(t, due[0].Progress.State, state)
				assert.Equal(t, due[0].Progress.Order, int64(15), "a VM that starts finds its order")
				m.SetWritten(due[0], 1, 16, at(1.3))

				rewritten.Revision = 20
				m.SetOrder(rewritten, at(1.4))
				assert.Equal(t, m.stateOf("s"), Running, "the operator orders it anew")
			})
		}
	}
}

// Guards against a rollout that begins anew, or forgets its sessions and its evidence, when
// its order is written again with another revision.
func TestRunningRolloutIsRestored(t *testing.T) {
	m, peer := managerWithOrder(), managerWithOrder()
	m.SetProgress(Progress{Service: "s", Release: "v2", State: Running, Order: 10}, 11, begin)
	m.Served("s", "moved", "v2", at(0.1))
	m.BeginEra(1, 5)
	m.SetOrder(Order{Service: "s", Release: "v2", Duration: duration, Revision: 8, Era: 1, Base: 5}, at(0.3))
	assert.Assert(t, prefers(m, "moved", at(0.11)), "the session moves back")
	due := m.DueWrites(at(0.31), 0, 0, noOldCalls)
	assert.Equal(t, due[0].Progress.State, Running)
	assert.Equal(t, due[0].Progress.Started, -at(0.31).Sub(begin), "the rollout begins anew")
	for range 20 {
		peer.Observe("s", "v2", Outcome{Route: "r", Failed: true}, at(0.3))
		peer.Observe("s", "v1", Outcome{Route: "r"}, at(0.3))
	}
	m.Merge("peer/1", peer.Evidence())
	assert.Assert(t, !m.Allow("s", "x", at(0.32)).Accept("v2"), "a peer that knows the earlier revision is not heard")
	later := Order{Service: "s", Release: "v2", Duration: duration, Revision: 9, Era: 1, Base: 5}
	m.SetOrder(later, at(0.33))
	assert.Equal(t, m.stateOf("s"), Running, "the operator orders it anew")
	assert.Assert(t, m.Allow("s", "x", at(0.34)).Accept == nil)
}

// Guards against a VM that knows the order of the restored copy and gets the state that
// another one has stored for the same order, written again.
func TestStateOfAnOrderWrittenAgain(t *testing.T) {
	m := ended(Done)
	m.BeginEra(1, 12)
	m.SetOrder(Order{Service: "s", Release: "v2", Duration: duration, Revision: 10, Era: 1, Base: 12}, at(1))
	m.SetProgress(Progress{Service: "s", Release: "v2", State: Done, Order: 14, Era: 1, Duration: duration}, 16, at(1))
	assert.Equal(t, m.stateOf("s"), Done)
	assert.Equal(t, len(m.DueWrites(at(1.1), 0, 0, noOldCalls)), 0, "the later revision of the order stays stored")

	started := New(Options{Log: zap.NewNop()})
	started.BeginEra(1, 12)
	started.SetProgress(Progress{Service: "s", Release: "v2", State: Done, Order: 10, Era: 1}, 13, at(1))
	started.SetOrder(Order{Service: "s", Release: "v2", Duration: duration, Revision: 14, Era: 1, Base: 12}, at(1))
	assert.Equal(t, started.stateOf("s"), Done)
}

// Guards against an earlier order of the restored copy that replaces the last one.
func TestEarlierOrderIsRestored(t *testing.T) {
	m := managerWithOrder()
	last := Order{Service: "s", Release: "v3", Duration: duration, Revision: 15}
	m.SetOrder(last, at(1))
	m.SetOrder(Order{Service: "s", Release: "v2", Duration: duration, Revision: 10, Era: 1, Base: 12}, at(1.1))
	assert.Equal(t, m.services["s"].order.Release, "v3")
	m.SetOrder(Order{Service: "s", Release: "v2", Duration: duration, Revision: 13, Era: 1, Base: 12}, at(1.2))
	assert.Equal(t, m.services["s"].order.Release, "v2", "the operator has ordered the earlier release again")
}

// Guards against a second restore, and against a write of the earlier era that is taken for
// one of the new era.
func TestRolloutIsRestoredTwice(t *testing.T) {
	m := ended(RolledBack)
	for era := int64(1); era <= 2; era++ {
		m.BeginEra(era, 11)
		m.SetOrder(Order{Service: "s", Release: "v2", Duration: duration, Revision: 10, Era: era, Base: 11}, at(1))
		m.SetProgress(Progress{Service: "s", Release: "v2", State: Running, Order: 10}, 11, begin)
		due := m.DueWrites(at(float64(era)), 0, 0, noOldCalls)
		assert.Equal(t, due[0].Progress.State, RolledBack)
		m.SetWritten(due[0], era-1, 30, at(1))
		assert.Equal(t, m.DueWrites(at(float64(era)+0.5), 0, 0, noOldCalls)[0].ExpectedRevision, int64(11))
	}
}
