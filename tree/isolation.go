package tree

import (
	"reflect"
)

// AffectsIsolatedDaemons says whether a daemon that still uses old in isolation could
// do something that new rules out. A refusal never counts, because an isolated
// daemon may refuse. Where the effect of a change is not followed in detail,
// the answer is true. A missing old snapshot touches nothing, because a daemon
// without configuration serves nothing.
func AffectsIsolatedDaemons(old, new *Snapshot) bool {
	if old == nil {
		return false
	}
	a, b := &old.tree, &new.tree
	return !reflect.DeepEqual(a.Defaults, b.Defaults) ||
		!reflect.DeepEqual(a.Organisations, b.Organisations) ||
		!reflect.DeepEqual(a.Services, b.Services) ||
		versionsTouched(old, new) || upstreamsTouched(old, new) || rolloutsTouched(old, new)
}

// versionsTouched compares the versions that are usable in isolation before or
// after, and the successors of versions withdrawn before. An isolated daemon
// follows those successors for the sessions pinned to them.
func versionsTouched(old, new *Snapshot) bool {
	for id := range union(old.tree.Versions, new.tree.Versions) {
		v, inOld := old.tree.Versions[id]
		if usable(old, new, id) && (old.isolated[id] != new.isolated[id] || !reflect.DeepEqual(v, new.tree.Versions[id])) {
			return true
		}
		if inOld && v.State == VersionWithdrawn && (new.tree.Versions[id].State != VersionWithdrawn || old.successors[id] != new.successors[id]) {
			return true
		}
	}
	return false
}

// upstreamsTouched compares the upstreams of plain services, and those engines
// that hold a version which is usable in isolation. Other versions of an
// engine don't count.
func upstreamsTouched(old, new *Snapshot) bool {
	for id := range union(old.upstreams, new.upstreams) {
		a, served := isolatedUpstream(old, new, old.tree.Upstreams[id])
		b, serves := isolatedUpstream(old, new, new.tree.Upstreams[id])
		if (served || serves) && !reflect.DeepEqual(a, b) {
			return true
		}
	}
	return false
}

func isolatedUpstream(old, new *Snapshot, up Upstream) (Upstream, bool) {
	var versions []string
	for _, v := range up.Versions {
		if usable(old, new, v) {
			versions = append(versions, v)
		}
	}
	up.Versions = versions
	return up, up.Kind == ServiceUpstream || len(versions) > 0
}

// rolloutsTouched compares the roll-outs that can move sessions to a version
// which is usable in isolation.
func rolloutsTouched(old, new *Snapshot) bool {
	for id := range union(old.tree.Rollouts, new.tree.Rollouts) {
		a, b := old.tree.Rollouts[id], new.tree.Rollouts[id]
		if a != b && (usable(old, new, a.To) || usable(old, new, b.To)) {
			return true
		}
	}
	return false
}

func usable(old, new *Snapshot, version string) bool {
	return old.isolated[version] || new.isolated[version]
}

func union[V any](a, b map[string]V) map[string]struct{} {
	ids := make(map[string]struct{}, len(a)+len(b))
	for id := range a {
		ids[id] = struct{}{}
	}
	for id := range b {
		ids[id] = struct{}{}
	}
	return ids
}
