package tree

import (
	"reflect"
)

// AffectsIsolatedDaemons reports whether an isolated daemon that still uses the old
// snapshot could do something that the new one rules out. Requests that the old
// snapshot refuses don't count, because an isolated daemon may refuse requests.
// Changes whose effect is not analysed in detail return true. A nil old snapshot
// returns false, because a daemon without configuration serves nothing.
func AffectsIsolatedDaemons(old, new *Snapshot) bool {
	if old == nil {
		return false
	}
	a, b := &old.tree, &new.tree
	return !reflect.DeepEqual(a.Defaults, b.Defaults) ||
		!reflect.DeepEqual(a.Organisations, b.Organisations) ||
		!reflect.DeepEqual(a.Services, b.Services) ||
		versionsAffected(old, new) || upstreamsAffected(old, new) || rolloutsAffected(old, new)
}

// versionsAffected reports whether a version that is usable in isolation in the
// old or new snapshot differs between them, or whether a version that is withdrawn
// in the old one is restored or has another successor. An isolated daemon sends
// the sessions pinned to a withdrawn version to its successor.
func versionsAffected(old, new *Snapshot) bool {
	for id := range union(old.tree.Versions, new.tree.Versions) {
		v, inOld := old.tree.Versions[id]
		if usableInEither(old, new, id) && (old.usableInIsolation[id] != new.usableInIsolation[id] || !reflect.DeepEqual(v, new.tree.Versions[id])) {
			return true
		}
		if inOld && v.State == VersionWithdrawn && (new.tree.Versions[id].State != VersionWithdrawn || old.successors[id] != new.successors[id]) {
			return true
		}
	}
	return false
}

// upstreamsAffected reports whether an upstream differs that an isolated daemon
// may use: an upstream of a plain service, or an engine with a version that is
// usable in isolation. Other versions of an engine don't count.
func upstreamsAffected(old, new *Snapshot) bool {
	for id := range union(old.upstreams, new.upstreams) {
		a, usableBefore := upstreamInIsolation(old, new, old.tree.Upstreams[id])
		b, usableAfter := upstreamInIsolation(old, new, new.tree.Upstreams[id])
		if (usableBefore || usableAfter) && !reflect.DeepEqual(a, b) {
			return true
		}
	}
	return false
}

func upstreamInIsolation(old, new *Snapshot, up Upstream) (Upstream, bool) {
	var versions []string
	for _, v := range up.Versions {
		if usableInEither(old, new, v) {
			versions = append(versions, v)
		}
	}
	up.Versions = versions
	return up, up.Kind == ServiceUpstream || len(versions) > 0
}

// rolloutsAffected reports whether a rollout to a version that is usable in
// isolation differs.
func rolloutsAffected(old, new *Snapshot) bool {
	for id := range union(old.tree.Rollouts, new.tree.Rollouts) {
		a, b := old.tree.Rollouts[id], new.tree.Rollouts[id]
		if a != b && (usableInEither(old, new, a.To) || usableInEither(old, new, b.To)) {
			return true
		}
	}
	return false
}

func usableInEither(old, new *Snapshot, version string) bool {
	return old.usableInIsolation[version] || new.usableInIsolation[version]
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
