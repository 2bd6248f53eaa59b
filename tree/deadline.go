package tree

import "time"

// LongestDeadline returns the longest deadline of the requests that state none.
func (t *Tree) LongestDeadline() time.Duration {
	longest := DefaultDeadline
	if t.Defaults.DeadlineMs != nil {
		longest = t.Defaults.deadline()
	}
	for _, org := range t.Organisations {
		longest = max(longest, org.deadline())
		for _, service := range org.Services {
			longest = max(longest, service.deadline())
			for _, session := range service.Sessions {
				longest = max(longest, session.deadline())
			}
		}
	}
	return longest
}

// deadline returns the deadline that a node sets, or 0.
func (o Overrides) deadline() time.Duration {
	if o.DeadlineMs == nil {
		return 0
	}
	return time.Duration(*o.DeadlineMs) * time.Millisecond
}
