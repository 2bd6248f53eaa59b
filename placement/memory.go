package placement

// memory returns the number of tokens of a call that take memory of an engine. Calls of
// services that run no models take none.
func (q *Query) memory() int {
	if q.Model == "" {
		return 0
	}
	return q.Tokens + q.OutputTokens
}

// hasMemoryFor reports whether the engine has the memory for a call besides the calls of all VMs in
// flight. Those that wait in its queue are counted too, because they will take memory.
func (e *upstreamState) hasMemoryFor(q *Query) bool {
	return q.KVTokens <= 0 || e.own.Tokens+e.peers.Tokens+q.memory() <= q.KVTokens
}

// FitsMemory reports whether an engine without other calls can hold a call. The number of
// generated tokens is an expectation, so it decides nothing here.
func (q *Query) FitsMemory() bool {
	return q.KVTokens <= 0 || q.Model == "" || q.Tokens < q.KVTokens
}
