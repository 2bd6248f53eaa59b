package gateway

import (
	"bytes"
	"strconv"
)

// eventSequence checks that the events of a stream follow each other, also where
// another upstream continues the stream.
type eventSequence struct {
	// last is the ID of the last event; numbered is set if it is a number.
	last     int64
	numbered bool
	// count is the number of events, and consecutive is set while each ID is the
	// successor of the one before it.
	count       int
	consecutive bool
}

// newEventSequence returns a sequence that begins after the event with the given ID;
// the ID is empty for a new stream.
func newEventSequence(lastID string) eventSequence {
	s := eventSequence{consecutive: true}
	if lastID != "" {
		s.record(lastID)
	}
	return s
}

// accept reports whether an event may follow the last one, and records it. IDs that are
// numbers must increase. In a resumed stream they must also be consecutive if all those
// before were, and each event but a comment must have an ID.
func (s *eventSequence) accept(event []byte, id string, resumed bool) bool {
	if id == "" {
		return !resumed || !s.numbered || isComment(event)
	}
	n, err := strconv.ParseInt(id, 10, 64)
	if s.numbered {
		switch {
		case err != nil && resumed, err == nil && n <= s.last:
			return false
		case resumed && s.predictable() && n != s.last+1:
			return false
		}
	}
	s.record(id)
	return true
}

// predictable reports whether the ID of the next event is known. The ID of a single
// event tells nothing about the step to the next one, unless it is the first number.
func (s *eventSequence) predictable() bool {
	return s.consecutive && (s.count > 1 || s.last == 1)
}

func (s *eventSequence) record(id string) {
	n, err := strconv.ParseInt(id, 10, 64)
	if s.count > 0 && (!s.numbered || n != s.last+1) {
		s.consecutive = false
	}
	s.last, s.numbered = n, err == nil
	s.count++
}

// isComment reports whether an event consists of comments only. They have no ID.
func isComment(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if line = bytes.TrimRight(line, "\r"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}
