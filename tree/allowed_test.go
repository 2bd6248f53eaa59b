package tree_test

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryshift/savoryshift/tree"
)

// nearest returns the lowest list that is set.
func nearest(chain ...[]string) []string {
	for _, list := range slices.Backward(chain) {
		if list != nil {
			return list
		}
	}
	return nil
}

// strays draws random sets of models and versions for each level and random
// withdrawals, and says whether offer names another set of versions than the
// organisation allows.
func strays(rt *rapid.T, offer func(s *tree.Snapshot) []string) bool {
	doc, _ := tree.Parse([]byte(sample))
	level := func(name string) tree.Overrides {
		pick := func(from ...string) []string {
			return rapid.SampledFrom([][]string{nil, nil, from[:1], from[1:], from}).Draw(rt, name)
		}
		return tree.Overrides{Models: pick("small", "medium", "large"), Versions: pick("s1", "s2", "m0", "m1", "l1", "l2")}
	}
	session, service, org := level("session"), level("service"), level("organisation")
	doc.Defaults = level("defaults")
	doc.Organisations = map[string]tree.Organisation{"club": {Overrides: org, Services: map[string]tree.OrganisationService{
		"model": {Overrides: service, Sessions: map[string]tree.Session{"night": {Overrides: session}}}}}}
	for _, id := range rapid.SliceOfN(rapid.SampledFrom([]string{"s1", "m1", "l1", "l2"}), 0, 3).Draw(rt, "withdrawn") {
		v := doc.Versions[id]
		v.State, v.UsableInIsolation = tree.VersionWithdrawn, nil
		doc.Versions[id] = v
	}
	data, _ := json.Marshal(doc)
	s, err := tree.Build(data, 1, "")
	if err != nil {
		return false // refused: no version in common
	}
	models := nearest(doc.Defaults.Models, org.Models, service.Models, session.Models)
	versions := nearest(doc.Defaults.Versions, org.Versions, service.Versions, session.Versions)
	want := slices.DeleteFunc(slices.Sorted(maps.Keys(doc.Versions)), func(id string) bool {
		v := doc.Versions[id]
		return v.State == tree.VersionWithdrawn || models == nil && versions == nil ||
			models != nil && !slices.Contains(models, v.Model) || versions != nil && !slices.Contains(versions, id)
	})
	return !slices.Equal(want, slices.Sorted(slices.Values(offer(s))))
}

// Guards invariants 1 and 2: exactly the allowed versions that are not
// withdrawn are offered.
func TestOnlyAllowedVersionsAreOffered(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		assert.Assert(rt, !strays(rt, func(s *tree.Snapshot) (ids []string) {
			e, err := s.Effective("club", "model", "night")
			assert.NilError(rt, err)
			for _, v := range e.Versions {
				ids = append(ids, v.ID)
			}
			return ids
		}))
	})
	// Twin: an offer without the filter must break the invariants.
	found := false
	rapid.Check(t, func(rt *rapid.T) {
		one := strays(rt, func(s *tree.Snapshot) []string { return slices.Collect(maps.Keys(s.Tree().Versions)) })
		found = found || one
	})
	assert.Assert(t, found)
}
