package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// framed sends and receives pairs of header and body as gob in one frame. One
// goroutine may read while others write.
type framed struct {
	conn net.Conn
	max  int

	// The reading side.
	reader  *bufio.Reader
	in      bytes.Buffer // the current frame
	decoder *gob.Decoder

	// The writing side.
	mu      sync.Mutex
	out     bytes.Buffer
	encoder *gob.Encoder

	closed sync.Once
}

func newFramed(conn net.Conn, maxBytes int) *framed {
	f := &framed{conn: conn, max: maxBytes, reader: bufio.NewReader(conn)}
	f.decoder = gob.NewDecoder(&f.in)
	f.encoder = gob.NewEncoder(&f.out)
	return f
}

// errMalformed reports a frame that gob cannot decode, or with bytes left over.
var errMalformed = errors.New("malformed message")

// next reads the next frame and decodes its header. Only the frame's length is
// read before the bound is checked.
func (f *framed) next(header any) error {
	if f.in.Len() > 0 {
		return fmt.Errorf("%w: %d bytes left over", errMalformed, f.in.Len())
	}
	size, err := binary.ReadUvarint(f.reader)
	if err != nil {
		return err
	}
	if size > uint64(f.max) {
		return fmt.Errorf("%w: %d bytes", ErrTooLarge, size)
	}
	if _, err := io.CopyN(&f.in, f.reader, int64(size)); err != nil {
		return err
	}
	return f.decode(header)
}

// decode decodes the next value of the frame; nil skips it.
func (f *framed) decode(value any) error {
	if err := f.decoder.Decode(value); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	return nil
}

// write sends one frame. After an error the connection is closed, because the
// encoder takes type descriptions for sent that were not.
func (f *framed) write(header, body any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.out.Reset()
	f.out.Write(make([]byte, binary.MaxVarintLen32)) // room for the length
	err := f.encoder.Encode(header)
	if err == nil {
		err = f.encoder.Encode(body)
	}
	if err == nil {
		err = f.send(f.out.Bytes())
	}
	if err != nil {
		f.close()
	}
	return err
}

// send writes a message that is preceded by room for its length.
func (f *framed) send(buffer []byte) error {
	size := len(buffer) - binary.MaxVarintLen32
	if size > f.max {
		return fmt.Errorf("%w: %d bytes", ErrTooLarge, size)
	}
	prefix := binary.AppendUvarint(nil, uint64(size))
	frame := buffer[binary.MaxVarintLen32-len(prefix):]
	copy(frame, prefix)
	if err := f.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := f.conn.Write(frame)
	return err
}

func (f *framed) close() error {
	var err error
	f.closed.Do(func() { err = f.conn.Close() })
	return err
}
