package upstream

import (
	"bufio"
	"bytes"
	"io"
	"unicode/utf8"
)

// event is one server-sent event. Its slices are valid until the next call of
// next.
type event struct {
	name  []byte
	data  []byte
	id    int
	hasID bool
}

// eventReader reads server-sent events with bounds on their size. It allocates
// nothing per event once its buffers have grown.
type eventReader struct {
	r       *bufio.Reader
	maxLine int
	maxData int

	long []byte // a line that spans several reads
	name []byte
	data []byte
}

// maxPartNumber bounds the id of an event, so that it cannot overflow.
const maxPartNumber = 1 << 30

// next reads one event into ev. At the end of the input it returns io.EOF; an
// event that the input cuts off is never returned.
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

// field adds one line to the event and says whether it held data.
func (e *eventReader) field(ev *event, line []byte) (bool, error) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "data":
		if len(e.data)+len(value) > e.maxData {
			return false, invalid("part is longer than %d bytes", e.maxData)
		}
		if !utf8.Valid(value) {
			return false, invalid("part is not valid UTF-8")
		}
		e.data = append(append(e.data, value...), '\n')
		return true, nil
	case "event":
		e.name = append(e.name[:0], value...)
	case "id":
		n, ok := partNumber(value)
		if !ok {
			return false, invalid("part number %q is not a number from 1", value)
		}
		ev.id, ev.hasID = n, true
	case "", "retry":
	default:
		return false, invalid("unknown field %q in the stream", field)
	}
	return false, nil
}

// partNumber parses a decimal number from 1 without allocating.
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

// line returns the next line without its end.
func (e *eventReader) line() ([]byte, error) {
	e.long = e.long[:0]
	for {
		chunk, err := e.r.ReadSlice('\n')
		if len(e.long)+len(chunk) > e.maxLine {
			return nil, invalid("line of the stream is longer than %d bytes", e.maxLine)
		}
		switch {
		case err == bufio.ErrBufferFull:
			e.long = append(e.long, chunk...)
			continue
		case err == io.EOF, err != nil:
			return nil, err
		}
		if len(e.long) > 0 {
			e.long = append(e.long, chunk...)
			chunk = e.long
		}
		return bytes.TrimSuffix(chunk[:len(chunk)-1], []byte("\r")), nil
	}
}
