package routing

import (
	"testing"

	"gotest.tools/v3/assert"
)

func sample() Configuration {
	return Configuration{
		Version:  3,
		Services: []Service{{Name: "desk"}, {Name: "other"}},
		Routes: []Route{
			{Name: "short", Host: "h", Prefix: "/a/", Kind: Safe, Destinations: []Destination{{Service: "desk", Weight: 1}}},
			{Name: "long", Host: "h", Prefix: "/a/b/", Kind: Unsafe, Destinations: []Destination{{Service: "desk", Weight: 90}, {Service: "other", Weight: 10}}},
		},
		Organisations: []Organisation{{Name: "o", Keys: []string{"k1", "k2"}}},
	}
}

// A request must be matched by the longest prefix of its path.
func TestMatchTakesLongestPrefix(t *testing.T) {
	s, err := Compile(sample())
	assert.NilError(t, err)
	for path, want := range map[string]string{"/a/x": "short", "/a/b/x": "long", "/a/b": "short", "/c": ""} {
		r := s.Match("h", path)
		if want == "" {
			assert.Assert(t, r == nil, path)
			continue
		}
		assert.Equal(t, r.Name, want, path)
	}
	assert.Assert(t, s.Match("other", "/a/x") == nil)
}

// Unknown and empty keys must not map to an organisation.
func TestOrganisationByKey(t *testing.T) {
	s, err := Compile(sample())
	assert.NilError(t, err)
	assert.Equal(t, s.Organisation("k2").Name, "o")
	assert.Assert(t, s.Organisation("k3") == nil)
	assert.Assert(t, s.Organisation("") == nil)
}

// Requests must be split over the destinations in proportion to their weights.
func TestPickFollowsWeights(t *testing.T) {
	s, err := Compile(sample())
	assert.NilError(t, err)
	r := s.Match("h", "/a/b/")
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"desk": 900, "other": 100})
}

// A configuration with an invalid route is rejected with an error that names the
// cause.
func TestCompileRejectsBadRoutes(t *testing.T) {
	for name, invalidate := range map[string]func(*Configuration){
		"prefix":             func(c *Configuration) { c.Routes[0].Prefix = "a/" },
		"kind":               func(c *Configuration) { c.Routes[0].Kind = "maybe" },
		"no destination":     func(c *Configuration) { c.Routes[0].Destinations = nil },
		"unknown service":    func(c *Configuration) { c.Routes[0].Destinations[0].Service = "x" },
		"is negative":        func(c *Configuration) { c.Routes[0].Destinations[0].Weight = -1 },
		"route \"short\": k": func(c *Configuration) { c.Routes[0].Kind = "" },
	} {
		c := sample()
		invalidate(&c)
		_, err := Compile(c)
		assert.ErrorContains(t, err, name)
	}
}
