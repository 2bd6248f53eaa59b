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

// lowestSet returns the last list of a chain that is not nil, which is the one
// that a node inherits or sets.
func lowestSet(chain ...[]string) []string {
	for _, list := range slices.Backward(chain) {
		if list != nil {
			return list
		}
	}
	return nil
}

// offerDiffers draws sets of models and versions for each level of the tree and
// withdrawn versions. It reports whether offer returns another set of versions
// than those that the organisation allows and that are not withdrawn.
func offerDiffers(rt *rapid.T, offer func(s *tree.Snapshot) []string) bool {
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
		return false // invalid tree: models and versions have none in common
	}
	models := lowestSet(doc.Defaults.Models, org.Models, service.Models, session.Models)
	versions := lowestSet(doc.Defaults.Versions, org.Versions, service.Versions, session.Versions)
	want := slices.DeleteFunc(slices.Sorted(maps.Keys(doc.Versions)), func(id string) bool {
		v := doc.Versions[id]
		return v.State == tree.VersionWithdrawn || models == nil && versions == nil ||
			models != nil && !slices.Contains(models, v.Model) || versions != nil && !slices.Contains(versions, id)
	})
	return !slices.Equal(want, slices.Sorted(slices.Values(offer(s))))
}

// Guards against an offer with a version that is withdrawn or not allowed, and
// against an allowed version that is not offered.
func TestOnlyAllowedVersionsAreOffered(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		assert.Assert(rt, !offerDiffers(rt, func(s *tree.Snapshot) (ids []string) {
			e, err := s.Effective("club", "model", "night")
			assert.NilError(rt, err)
			for _, v := range e.Versions {
				ids = append(ids, v.ID)
			}
			return ids
		}))
	})
	// Negative control: an offer of all versions must be found to differ.
	found := false
	rapid.Check(t, func(rt *rapid.T) {
		differs := offerDiffers(rt, func(s *tree.Snapshot) []string { return slices.Collect(maps.Keys(s.Tree().Versions)) })
		found = found || differs
	})
	assert.Assert(t, found)
}
