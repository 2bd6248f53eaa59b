package proxy

import "github.com/savoryshift/savoryshift/session"

// RingSessions implements Sessions with the keys of a session.Ring.
type RingSessions struct{ Ring *session.Ring }

// Sign implements Sessions.
func (s RingSessions) Sign(p SessionPin) (string, error) {
	return s.Ring.Issue(session.Token{
		Organisation: p.Organisation,
		Service:      p.Service,
		Session:      p.ID,
		Name:         p.Name,
		Versions:     p.Versions,
	})
}

// Verify implements Sessions.
func (s RingSessions) Verify(token, organisation string) (SessionPin, error) {
	t, err := s.Ring.Verify(token, organisation)
	if err != nil {
		return SessionPin{}, err
	}
	return SessionPin{
		Organisation: t.Organisation,
		Service:      t.Service,
		ID:           t.Session,
		Name:         t.Name,
		Versions:     t.Versions,
	}, nil
}
