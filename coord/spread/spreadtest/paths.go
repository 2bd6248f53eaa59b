package spreadtest

import "slices"

// shortestPath returns the nodes of a shortest path in a graph of n nodes, or nil
// when there is none. The path from a node to itself consists of that node.
func shortestPath(n, from, to int, link func(a, b int) bool) []int {
	predecessor := make([]int, n)
	for i := range predecessor {
		predecessor[i] = -1
	}
	predecessor[from] = from
	for queue := []int{from}; len(queue) > 0 && predecessor[to] < 0; queue = queue[1:] {
		for next := range n {
			if predecessor[next] < 0 && link(queue[0], next) {
				predecessor[next] = queue[0]
				queue = append(queue, next)
			}
		}
	}
	if predecessor[to] < 0 {
		return nil
	}
	path := []int{to}
	for path[len(path)-1] != from {
		path = append(path, predecessor[path[len(path)-1]])
	}
	slices.Reverse(path)
	return path
}

// DisjointPaths returns the number of link-disjoint paths between two nodes of a
// graph of n nodes, at most limit. It computes a maximum flow with link capacity
// 1. Links have no direction; link must be symmetric.
func DisjointPaths(n, from, to, limit int, link func(a, b int) bool) int {
	// A later augmenting path may cancel the flow over a link.
	flow := squareMatrix[int](n)
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

// critical reports whether z knows fewer than MinPaths link-disjoint paths to
// other.
func (r *zoneRunner) critical(z, other *zone) bool {
	seen := func(a, b int) bool {
		at := max(z.linkSeen[a][b], z.linkSeen[b][a])
		return at > 0 && r.now-at < linkExpiry
	}
	return DisjointPaths(r.experiment.Zones, z.id, other.id, r.experiment.MinPaths, seen) < r.experiment.MinPaths
}

// heartbeatsOf returns the heartbeats that z forwards and their size in bytes.
func (r *zoneRunner) heartbeatsOf(z *zone) ([]heartbeat, int) {
	if r.experiment.Strategy != CriticalLinks {
		return nil, 0
	}
	size := 0
	for _, h := range z.heartbeats {
		if h.seq > 0 {
			size += heartbeatBytes + hopBytes*len(h.path)
		}
	}
	return slices.Clone(z.heartbeats), size
}

// mergeHeartbeats stores the newer heartbeats of a message and records the links
// of their paths as seen.
func (r *zoneRunner) mergeHeartbeats(z *zone, received []heartbeat) {
	for origin, h := range received {
		if h.seq <= z.heartbeats[origin].seq || origin == z.id || len(h.path) >= maxHops {
			continue
		}
		path := append(slices.Clone(h.path), z.id)
		for i := 1; i < len(path); i++ {
			z.linkSeen[path[i-1]][path[i]] = r.now
		}
		z.heartbeats[origin] = heartbeat{h.seq, path}
	}
}
