package gateway

import (
	"bufio"
	"bytes"
	"io"
)

const (
	// eventBufferBytes is the size of the read buffer of a stream.
	eventBufferBytes = 4096
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// eventReader splits a stream into whole events and keeps the ID of the last one.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBufferBytes)}
}

// next returns the bytes of the next whole event, up to and including the empty
// line that ends it, and its ID. The bytes are valid until the next call. A
// stream that ends within an event yields io.ErrUnexpectedEOF.
func (e *eventReader) next() (data []byte, id string, err error) {
	e.buf = e.buf[:0]
	for {
		line, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		if len(e.buf) > maxEventBytes {
			return nil, "", bufio.ErrTooLong
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF && len(bytes.TrimSpace(e.buf)) > 0 {
			return nil, "", io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, "", err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			if len(bytes.TrimSpace(e.buf)) == 0 {
				e.buf = e.buf[:0]
				continue
			}
			return e.buf, eventID(e.buf), nil
		}
	}
}

// buffered reports whether a further event may be read without waiting.
func (e *eventReader) buffered() bool { return e.r.Buffered() > 0 }

// eventID returns the value of the event's id field, or "".
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
