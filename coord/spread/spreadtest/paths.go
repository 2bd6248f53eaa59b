package spreadtest

import "slices"

// shortestPath returns the nodes of a shortest path, or nil. A path from a node
// to itself is that node.
func shortestPath(n, from, to int, link func(a, b int) bool) []int {
	before := make([]int, n)
	for i := range before {
		before[i] = -1
	}
	before[from] = from
	for queue := []int{from}; len(queue) > 0 && before[to] < 0; queue = queue[1:] {
		for next := range n {
			if before[next] < 0 && link(queue[0], next) {
				before[next] = queue[0]
				queue = append(queue, next)
			}
		}
	}
	if before[to] < 0 {
		return nil
	}
	path := []int{to}
	for path[len(path)-1] != from {
		path = append(path, before[path[len(path)-1]])
	}
	slices.Reverse(path)
	return path
}

// DisjointPaths returns the number of link-disjoint paths between two nodes, at
// most limit. Links have no direction; link must be symmetric.
func DisjointPaths(n, from, to, limit int, link func(a, b int) bool) int {
	// A unit of flow over a link may be sent back by a later path.
	flow := square[int](n)
	residual := func(a, b int) bool { return link(a, b) && flow[a][b] < 1 }
	for found := range limit {
		path := shortestPath(n, from, to, residual)
		if path == nil {
			return found
		}
		for i := 1; i < len(path); i++ {
			flow[path[i-1]][path[i]]++
			flow[path[i]][path[i-1]]--
		}
	}
	return limit
}

// critical reports whether z knows fewer than K link-disjoint paths to other.
func (r *zoneRunner) critical(z, other *zone) bool {
	seen := func(a, b int) bool {
		at := max(z.linkSeen[a][b], z.linkSeen[b][a])
		return at > 0 && r.now-at < linkExpiry
	}
	return DisjointPaths(r.p.Zones, z.id, other.id, r.p.K, seen) < r.p.K
}

// beats returns the heartbeats that z passes on and their size.
func (r *zoneRunner) beats(z *zone) ([]heartbeat, int) {
	if r.p.Strategy != CriticalLinks {
		return nil, 0
	}
	size := 0
	for _, b := range z.heartbeats {
		if b.seq > 0 {
			size += heartbeatBytes + hopBytes*len(b.path)
		}
	}
	return slices.Clone(z.heartbeats), size
}

// takeBeats learns links from the paths of heartbeats.
func (r *zoneRunner) takeBeats(z *zone, beats []heartbeat) {
	for origin, b := range beats {
		if b.seq <= z.heartbeats[origin].seq || origin == z.id || len(b.path) >= maxHops {
			continue
		}
		path := append(slices.Clone(b.path), z.id)
		for i := 1; i < len(path); i++ {
			z.linkSeen[path[i-1]][path[i]] = r.now
		}
		z.heartbeats[origin] = heartbeat{b.seq, path}
	}
}
