package upstream

import (
	"bufio"
	"bytes"
	"io"
	"unicode/utf8"

	"github.com/savoryshift/savoryshift/internal/bodybudget"
)

// event is one server-sent event. Its slices are valid until the next call of
// eventReader.next.
type event struct {
	name  []byte
	data  []byte
	id    int
	hasID bool
}

// eventReader reads server-sent events of limited size. It allocates nothing
// per event once its buffers have grown.
type eventReader struct {
	r       *bufio.Reader
	maxLine int
	maxData int

	// memory holds the buffers of long lines and parts.
	memory   *bodybudget.Share
	longLine []byte // a line that spans several reads
	name     []byte
	data     []byte
}

// maxPartNumber bounds part numbers, so that parsing them cannot overflow.
const maxPartNumber = 1 << 30

// next reads one event into ev. At the end of the input it returns io.EOF; an
// event that is cut off by the end of the input is discarded.
func (e *eventReader) next(ev *event) error {
	*ev = event{}
	e.name, e.data = e.name[:0], e.data[:0]
	hasData := false
	for {
		line, err := e.line()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			if hasData {
				ev.name, ev.data = e.name, bytes.TrimSuffix(e.data, []byte("\n"))
				return nil
			}
			ev.id, ev.hasID, e.name = 0, false, e.name[:0]
			continue
		}
		isData, err := e.field(ev, line)
		if err != nil {
			return err
		}
		hasData = hasData || isData
	}
}

// field adds one line to the event and reports whether it is a data field.
func (e *eventReader) field(ev *event, line []byte) (bool, error) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "data":
		if len(e.data)+len(value) > e.maxData {
			return false, invalidResponse("part is longer than %d bytes", e.maxData)
		}
		if !utf8.Valid(value) {
			return false, invalidResponse("part is not valid UTF-8")
		}
		e.data = append(append(e.data, value...), '\n')
		return true, nil
	case "event":
		e.name = append(e.name[:0], value...)
	case "id":
		n, ok := partNumber(value)
		if !ok {
			return false, invalidResponse("part number %q is not a number from 1", value)
		}
		ev.id, ev.hasID = n, true
	case "", "retry":
	default:
		return false, invalidResponse("unknown field %q in the stream", field)
	}
	return false, nil
}

// partNumber parses a decimal number from 1 to maxPartNumber without
// allocating.
func partNumber(text []byte) (int, bool) {
	n := 0
	for _, c := range text {
		if c < '0' || c > '9' {
			return 0, false
		}
		if n = n*10 + int(c-'0'); n > maxPartNumber {
			return 0, false
		}
	}
	return n, n > 0
}

// hold makes memory hold the buffers and some more bytes.
func (e *eventReader) hold(more int) error {
	return e.memory.Hold(len(e.longLine) + len(e.data) + more)
}

// line returns the next line without its line ending.
func (e *eventReader) line() ([]byte, error) {
	e.longLine = e.longLine[:0]
	for {
		chunk, err := e.r.ReadSlice('\n')
		if len(e.longLine)+len(chunk) > e.maxLine {
			return nil, invalidResponse("line of the stream is longer than %d bytes", e.maxLine)
		}
		switch {
		case err == bufio.ErrBufferFull:
			if err := e.hold(len(chunk)); err != nil {
				return nil, err
			}
			e.longLine = append(e.longLine, chunk...)
			continue
		case err == io.EOF, err != nil:
			return nil, err
		}
		if len(e.longLine) > 0 {
			e.longLine = append(e.longLine, chunk...)
			chunk = e.longLine
		}
		return bytes.TrimSuffix(chunk[:len(chunk)-1], []byte("\r")), nil
	}
}
