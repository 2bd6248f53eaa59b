// Package oldhead finds a transfer coding in the header of a response of HTTP/1.0, which
// that version does not have (RFC 9112, section 6.1): where the body of the response ends
// is unknown. The parser of net/http drops the field.
package oldhead

import (
	"bytes"
	"errors"
)

// ErrTransferCoding is returned for a response of HTTP/1.0 with a transfer coding.
var ErrTransferCoding = errors.New("the response of HTTP/1.0 has a transfer coding")

// keptBytes is the length up to which a line of a header is kept. It is above that of the
// name of the field and of a status line up to its status.
const keptBytes = 32

var (
	oldVersion = []byte("HTTP/1.0 ")
	fieldName  = []byte("Transfer-Encoding")
)

// Scanner scans the bytes of a connection from the beginning of a response on. The zero
// value is ready for use.
type Scanner struct {
	line [keptBytes]byte
	// length is the number of bytes in line.
	length int
	// begun is set after the status line, and done when nothing is left to be found.
	begun, done bool
	// old is set in a header of HTTP/1.0, and interim in one that another header follows.
	old, interim bool
}

// Scan scans the next bytes. It returns ErrTransferCoding before the end of a header that
// has the field.
func (s *Scanner) Scan(b []byte) error {
	for !s.done && len(b) > 0 {
		part, rest, ended := bytes.Cut(b, []byte("\n"))
		s.length += copy(s.line[s.length:], part)
		if !ended {
			return nil
		}
		if err := s.endLine(); err != nil {
			return err
		}
		b = rest
	}
	return nil
}

// endLine handles the line that has been kept.
func (s *Scanner) endLine() error {
	line := bytes.TrimRight(s.line[:s.length], "\r")
	s.length = 0
	switch name, _, _ := bytes.Cut(line, []byte(":")); {
	case !s.begun:
		s.begun, s.old = true, bytes.HasPrefix(line, oldVersion)
		s.interim = len(line) > len(oldVersion) && line[len(oldVersion)] == '1'
		s.done = !s.old && !s.interim
	case len(line) == 0 && s.interim:
		s.begun = false
	case len(line) == 0:
		s.done = true
	case s.old && bytes.EqualFold(name, fieldName):
		return ErrTransferCoding
	}
	return nil
}
