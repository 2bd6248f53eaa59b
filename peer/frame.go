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

// framed sends and receives messages over a connection. Each message is a frame
// with a length prefix that holds a header and a body, both encoded by gob. One
// goroutine may read while others write.
type framed struct {
	conn          net.Conn
	maxFrameBytes int

	// State of the reader.
	reader  *bufio.Reader
	readBuf bytes.Buffer // the current frame
	decoder *gob.Decoder

	// State of the writers, guarded by mu.
	mu       sync.Mutex
	writeBuf bytes.Buffer
	encoder  *gob.Encoder

	closeOnce sync.Once
}

func newFramed(conn net.Conn, maxBytes int) *framed {
	f := &framed{conn: conn, maxFrameBytes: maxBytes, reader: bufio.NewReader(conn)}
	f.decoder = gob.NewDecoder(&f.readBuf)
	f.encoder = gob.NewEncoder(&f.writeBuf)
	return f
}

// errMalformed reports a frame that gob cannot decode, or one with bytes left
// over after its body.
var errMalformed = errors.New("malformed message")

// readHeader reads the next frame and decodes its header. The length is checked
// before the content of the frame is read.
func (f *framed) readHeader(header any) error {
	if f.readBuf.Len() > 0 {
		return fmt.Errorf("%w: %d bytes left over", errMalformed, f.readBuf.Len())
	}
	size, err := binary.ReadUvarint(f.reader)
	if err != nil {
		return err
	}
	if size > uint64(f.maxFrameBytes) {
		return fmt.Errorf("%w: %d bytes", ErrTooLarge, size)
	}
	if _, err := io.CopyN(&f.readBuf, f.reader, int64(size)); err != nil {
		return err
	}
	return f.decode(header)
}

// decode decodes the next value of the frame. A nil value skips it.
func (f *framed) decode(value any) error {
	if err := f.decoder.Decode(value); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	return nil
}

// write sends one frame. After an error it closes the connection, because the
// encoder assumes that the peer has received the type descriptions in the frame.
func (f *framed) write(header, body any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writeBuf.Reset()
	f.writeBuf.Write(make([]byte, binary.MaxVarintLen32)) // space for the length prefix
	err := f.encoder.Encode(header)
	if err == nil {
		err = f.encoder.Encode(body)
	}
	if err == nil {
		err = f.send(f.writeBuf.Bytes())
	}
	if err != nil {
		f.close()
	}
	return err
}

// send writes a frame. buffer starts with binary.MaxVarintLen32 bytes of space for
// the length prefix.
func (f *framed) send(buffer []byte) error {
	size := len(buffer) - binary.MaxVarintLen32
	if size > f.maxFrameBytes {
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
	f.closeOnce.Do(func() { err = f.conn.Close() })
	return err
}
