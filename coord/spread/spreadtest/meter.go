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

// header has the fields, and so the encoding, of the headers of net/rpc. In
// package peer replies leave the method out.
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

// meter encodes messages as package peer does and counts the bytes. Type
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

// size returns the bytes of one message with its header and the length of its
// frame.
func (m *meter) size(method string, body any) int64 {
	m.seq++
	before := m.written
	if err := m.encoder.Encode(header{ServiceMethod: method, Seq: m.seq}); err != nil {
		panic(err) // a type that gob cannot encode is a fault of the program
	}
	if err := m.encoder.Encode(body); err != nil {
		panic(err)
	}
	size := int64(m.written - before)
	return size + int64(len(binary.AppendUvarint(nil, uint64(size))))
}
