package tree_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryshift/savoryshift/tree"
)

// edits holds merge patches of the sample tree, each of which changes one thing.
var edits = []string{
	`{"versions":{"s2":{"cost_per_1k_output_tokens":2}}}`, `{"versions":{"s1":{"cost_per_1k_output_tokens":2}}}`,
	`{"versions":{"s2":{"state":"withdrawn","successor":"s1"}}}`, `{"versions":{"s2":{"state":"settled"}}}`,
	`{"versions":{"s1":{"state":"withdrawn","successor":"m1"}}}`, `{"versions":{"m0":{"successor":"l1"}}}`, `{"versions":{"m0":{"state":"settled"}}}`,
	`{"versions":{"l2":{"usable_in_isolation":false}}}`, `{"versions":{"l1":{"usable_in_isolation":true}}}`, `{"versions":{"m1":{"successor":"l2"}}}`,
	`{"versions":{"m1":{"state":"withdrawn"}}}`, `{"versions":{"s3":{"model":"small","cost_per_1k_output_tokens":1,"state":"candidate"}}}`,
	`{"rollouts":{"r1":{"percent":60}}}`, `{"rollouts":{"r1":{"state":"paused"}}}`, `{"rollouts":{"r1":{"state":"aborted"}}}`,
	`{"rollouts":{"r1":{"state":"done"}}}`, `{"rollouts":{"r2":{"state":"done"}}}`, `{"rollouts":{"r2":null}}`,
	`{"rollouts":{"r3":{"from":"m1","to":"m0","percent":100,"state":"running"}}}`, `{"upstreams":{"e3":{"draining":true}}}`,
	`{"upstreams":{"e3":null},"services":{"model":{"upstreams":["e1","e2"]}}}`, `{"upstreams":{"e1":{"versions":["s1"]}}}`,
	`{"upstreams":{"e1":{"draining":true}}}`, `{"upstreams":{"d1":{"draining":true}}}`, `{"upstreams":{"e3":{"versions":["s1","s2"]}}}`,
	`{"services":{"desk":{"non_idempotent_methods":["PUT"]}}}`, `{"defaults":{"deadline_ms":6000}}`, `{"organisations":{"club":{"key_sha256":[]}}}`,
	`{"organisations":{"guide":null}}`, `{"organisations":{"guide":{"services":{"model":{"sessions":{"a":{"versions":["s1"]}}}}}}}`,
}

// isolatedActions returns what an isolated daemon with snapshot s may do: the
// results of all lookups that involve only versions usable in isolation.
func isolatedActions(s *tree.Snapshot) map[string]bool {
	actions := map[string]bool{}
	record := func(parts ...any) {
		text, err := json.Marshal(parts)
		if err != nil {
			panic(err)
		}
		actions[string(text)] = true
	}
	owner, _ := s.Authenticate("secretkey")
	record("key", owner)
	for _, org := range []string{"club", "guide"} {
		for _, service := range []string{"model", "desk"} {
			for _, session := range []string{"", "night", "a"} {
				if e, err := s.Effective(org, service, session); err == nil {
					own := *e
					own.Versions = slices.DeleteFunc(slices.Clone(e.Versions), func(v tree.AllowedVersion) bool { return !v.UsableInIsolation })
					record(org, service, session, own)
				}
			}
		}
	}
	for _, id := range []string{"s1", "s2", "s3", "m0", "m1", "l1", "l2"} {
		if next, _ := s.SuccessorOf(id); s.UsableInIsolation(next) {
			record("pinned", id, next)
			for _, up := range s.UpstreamsOf("model", next) {
				record("call", next, up.ID, up.URL, up.Draining, up.Slots)
			}
		}
		for i := range 20 {
			if to := s.CohortVersion(fmt.Sprint(i), id); to != id && s.UsableInIsolation(to) {
				record("cohort", i, id, to)
			}
		}
	}
	for _, up := range s.UpstreamsOfService("desk") {
		record("desk", *up, s.AtMostOnce("desk", "PUT"))
	}
	return actions
}

// allowsMore reports whether the old snapshot allows something in isolation that
// the new one doesn't.
func allowsMore(old, new *tree.Snapshot) bool {
	current := isolatedActions(new)
	for action := range isolatedActions(old) {
		if !current[action] {
			return true
		}
	}
	return false
}

// findMissedChange applies random edits. It returns an edit, and the one before
// it, for which affects returns false although an isolated daemon with the old
// tree may do what the new tree rules out.
func findMissedChange(rt *rapid.T, affects func(old, new *tree.Snapshot) bool) (string, bool) {
	doc, before := []byte(sample), ""
	for range rapid.IntRange(1, 6).Draw(rt, "edits") {
		edit := rapid.SampledFrom(edits).Draw(rt, "edit")
		next, err := tree.ApplyPatch(doc, []byte(edit))
		if err != nil {
			rt.Fatal(err)
		}
		new, err := tree.Build(next, 2, "")
		if err != nil {
			continue // The change log would reject the edit.
		}
		old, _ := tree.Build(doc, 1, "")
		if !affects(old, new) && allowsMore(old, new) {
			return before + "\n" + edit, true
		}
		doc, before = next, edit
	}
	return "", false
}

// Guards against a change that counts as in force before an isolated daemon whose
// behaviour it alters has acknowledged it.
func TestAffectsIsolatedDaemonsFindsEveryChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if pair, found := findMissedChange(rt, tree.AffectsIsolatedDaemons); found {
			rt.Fatalf("missed: %s", pair)
		}
	})
	// Negative control: a comparison that never finds a difference must miss a
	// change.
	found := false
	rapid.Check(t, func(rt *rapid.T) {
		_, missed := findMissedChange(rt, func(_, _ *tree.Snapshot) bool { return false })
		found = found || missed
	})
	assert.Assert(t, found)
}

// Guards against a result that is true for every change: then each step of a
// rollout would wait for daemons that are unreachable.
func TestAffectsIsolatedDaemonsIgnoresRolloutSteps(t *testing.T) {
	for edit, want := range map[string]bool{
		`{"rollouts":{"r1":{"percent":60}}}`:                         false,
		`{"rollouts":{"r1":{"state":"aborted"}}}`:                    false,
		`{"versions":{"s2":{"state":"withdrawn","successor":"s1"}}}`: false,
		`{"upstreams":{"e3":{"draining":true}}}`:                     false,
		`{"upstreams":{"e1":{"versions":["s1"]}}}`:                   false,
		`{"versions":{"s1":{"state":"withdrawn"}}}`:                  true,
		`{"upstreams":{"e1":{"draining":true}}}`:                     true,
	} {
		next, err := tree.ApplyPatch([]byte(sample), []byte(edit))
		assert.NilError(t, err)
		assert.Equal(t, tree.AffectsIsolatedDaemons(compile(t, sample), compile(t, string(next))), want, edit)
	}
}
