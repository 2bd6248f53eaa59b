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

// edits is a pool of merge patches; each changes one thing.
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

// inIsolation lists what an isolated daemon with snapshot s may do: each answer
// of its decisions that involves only versions usable in isolation.
func inIsolation(s *tree.Snapshot) map[string]bool {
	done := map[string]bool{}
	note := func(parts ...any) {
		text, err := json.Marshal(parts)
		if err != nil {
			panic(err)
		}
		done[string(text)] = true
	}
	owner, _ := s.Authenticate("secretkey")
	note("key", owner)
	for _, org := range []string{"club", "guide"} {
		for _, service := range []string{"model", "desk"} {
			for _, session := range []string{"", "night", "a"} {
				if e, err := s.Effective(org, service, session); err == nil {
					own := *e
					own.Versions = slices.DeleteFunc(slices.Clone(e.Versions), func(v tree.AllowedVersion) bool { return !v.UsableInIsolation })
					note(org, service, session, own)
				}
			}
		}
	}
	for _, id := range []string{"s1", "s2", "s3", "m0", "m1", "l1", "l2"} {
		if next, _ := s.SuccessorOf(id); s.UsableInIsolation(next) {
			note("pinned", id, next)
			for _, up := range s.UpstreamsOf("model", next) {
				note("call", next, up.ID, up.URL, up.Draining, up.Slots)
			}
		}
		for i := range 20 {
			if to := s.CohortVersion(fmt.Sprint(i), id); to != id && s.UsableInIsolation(to) {
				note("cohort", i, id, to)
			}
		}
	}
	for _, up := range s.UpstreamsOfService("desk") {
		note("desk", *up, s.AtMostOnce("desk", "PUT"))
	}
	return done
}

// outdated says whether old does something in isolation that new doesn't.
func outdated(old, new *tree.Snapshot) bool {
	current := inIsolation(new)
	for action := range inIsolation(old) {
		if !current[action] {
			return true
		}
	}
	return false
}

// missed returns a pair of edits after which touches says false although an
// isolated daemon with the old tree does what the new one rules out.
func missed(rt *rapid.T, touches func(old, new *tree.Snapshot) bool) (string, bool) {
	doc, before := []byte(sample), ""
	for range rapid.IntRange(1, 6).Draw(rt, "edits") {
		edit := rapid.SampledFrom(edits).Draw(rt, "edit")
		next, err := tree.ApplyPatch(doc, []byte(edit))
		if err != nil {
			rt.Fatal(err)
		}
		new, err := tree.Build(next, 2, "")
		if err != nil {
			continue // not accepted into the log
		}
		old, _ := tree.Build(doc, 1, "")
		if !touches(old, new) && outdated(old, new) {
			return before + "\n" + edit, true
		}
		doc, before = next, edit
	}
	return "", false
}

// Guards invariant 10: a change that alters what an isolated daemon does must
// not count as in force before that daemon has acknowledged it.
func TestTouchesIsolatedMissesNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if pair, found := missed(rt, tree.AffectsIsolatedDaemons); found {
			rt.Fatalf("missed: %s", pair)
		}
	})
	// Twin: without the comparison the invariant must break.
	found := false
	rapid.Check(t, func(rt *rapid.T) {
		_, one := missed(rt, func(_, _ *tree.Snapshot) bool { return false })
		found = found || one
	})
	assert.Assert(t, found)
}

// Guards against an answer that is always true: then each step of a roll-out
// would wait for daemons that can't be reached.
func TestTouchesIsolatedLetsRolloutStepsPass(t *testing.T) {
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
