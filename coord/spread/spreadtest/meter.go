package spreadtest

import (
	"encoding/binary"
	"encoding/gob"
)

// Traffic counts messages and their encoded bytes.
type Traffic struct {
	Messages int64
	Bytes    int64
}

// header has the fields, and so the gob encoding, of the request and response
// headers of net/rpc. In package peer, responses leave ServiceMethod empty.
type header struct {
	ServiceMethod string
	Seq           uint64
	Error         string
}

type countingWriter int64

func (w *countingWriter) Write(p []byte) (int, error) {
	*w += countingWriter(len(p))
	return len(p), nil
}

// meter encodes messages as package peer does and counts the bytes. Gob type
// descriptions are counted once per sender, as on a long-lived connection.
type meter struct {
	written countingWriter
	encoder *gob.Encoder
	seq     uint64
}

func newMeter() *meter {
	m := &meter{}
	m.encoder = gob.NewEncoder(&m.written)
	return m
}

// size returns the number of bytes of one message, including its header and its
// frame length.
func (m *meter) size(method string, body any) int64 {
	m.seq++
	before := m.written
	if err := m.encoder.Encode(header{ServiceMethod: method, Seq: m.seq}); err != nil {
		panic(err) // gob cannot encode the type, which is a programming error
	}
	if err := m.encoder.Encode(body); err != nil {
		panic(err)
	}
	size := int64(m.written - before)
	return size + int64(len(binary.AppendUvarint(nil, uint64(size))))
}
