package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/savoryshift/savoryshift/internal/bodybudget"
)

const (
	// eventBufferBytes is the size of the read buffer of a stream.
	eventBufferBytes = 4096
	// maxEventBytes is the maximum size of one event, maxEmptyBytes that of the empty
	// lines before it.
	maxEventBytes = 1 << 20
	maxEmptyBytes = 64 << 10
)

// eventReader splits a stream of server-sent events into whole events.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
	// memory holds the buffer of a long event.
	memory *bodybudget.Share
}

func newEventReader(r io.Reader, memory *bodybudget.Share) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBufferBytes), memory: memory}
}

// next returns the bytes of the next whole event, including the empty line that
// ends it, and its ID. The bytes are valid until the next call. It returns
// io.ErrUnexpectedEOF if the stream ends within an event. After an error no memory is held,
// so that others have it when the caller of the request learns of the error.
func (e *eventReader) next() (data []byte, id string, err error) {
	data, id, err = e.read()
	if err != nil {
		e.buf = nil
		e.memory.Release()
	}
	return data, id, err
}

func (e *eventReader) read() (data []byte, id string, err error) {
	e.buf = e.buf[:0]
	empty := 0
	for {
		line, err := e.r.ReadSlice('\n')
		// The event is copied when it is passed on.
		if err := e.memory.Hold(2 * (len(e.buf) + len(line))); err != nil {
			return nil, "", err
		}
		e.buf = append(e.buf, line...)
		if len(e.buf) > maxEventBytes || empty > maxEmptyBytes {
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
				empty += len(e.buf)
				e.buf = e.buf[:0]
				continue
			}
			return e.buf, eventID(e.buf), nil
		}
	}
}

// buffered reports whether the next event is available without a read from the network.
func (e *eventReader) buffered() bool {
	data, _ := e.r.Peek(e.r.Buffered()) // cannot fail for bytes that are buffered
	for begun := false; ; {
		line, rest, found := bytes.Cut(data, []byte("\n"))
		switch {
		case !found:
			return false
		case begun && len(bytes.TrimRight(line, "\r")) == 0:
			return true
		}
		begun, data = begun || len(bytes.TrimSpace(line)) > 0, rest
	}
}

// eventID returns the value of the event's id field, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
