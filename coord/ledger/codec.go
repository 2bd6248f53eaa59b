package ledger

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/crc32"
	"time"
)

// A batch consists of a header, entries, and a checksum. A text field is the
// number of a text that occurred earlier in the batch, or 0 followed by the text
// itself. A request key that is a UUID in canonical form takes 16 bytes. The time
// of an entry is stored as the difference to the entry before it.
const (
	batchMagic    = 'L'
	batchVersion  = 1
	headerBytes   = 2
	checksumBytes = 4

	batchOverheadBytes = headerBytes + checksumBytes

	uuidTextBytes = 36
	uuidBytes     = 16
	uuidMarker    = 0 // stands in place of the length of a key, which is never 0
)

// ErrDamaged reports a batch that cannot be decoded in full.
var ErrDamaged = errors.New("damaged ledger batch")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encoder builds one batch.
type encoder struct {
	data       []byte
	textIndex  map[string]uint64 // number of each text in the batch, from 1
	lastMillis int64             // time of the last entry, in Unix milliseconds
	count      int
}

func newEncoder() *encoder {
	return &encoder{data: []byte{batchMagic, batchVersion}, textIndex: make(map[string]uint64)}
}

func (c *encoder) add(e Entry) {
	c.writeText(e.Organisation)
	c.writeText(e.Model)
	c.writeText(e.Version)
	c.writeKey(e.RequestKey)
	c.data = binary.AppendUvarint(c.data, uint64(e.PromptTokens))
	c.data = binary.AppendUvarint(c.data, uint64(e.CompletionTokens))
	c.data = binary.AppendUvarint(c.data, uint64(e.CostMicros))
	at := e.Time.UnixMilli()
	c.data = binary.AppendVarint(c.data, at-c.lastMillis)
	c.lastMillis = at
	c.count++
}

func (c *encoder) writeText(s string) {
	if n, ok := c.textIndex[s]; ok {
		c.data = binary.AppendUvarint(c.data, n)
		return
	}
	c.textIndex[s] = uint64(len(c.textIndex) + 1)
	c.data = append(c.data, 0)
	c.data = binary.AppendUvarint(c.data, uint64(len(s)))
	c.data = append(c.data, s...)
}

func (c *encoder) writeKey(s string) {
	if id, ok := parseUUID(s); ok {
		c.data = append(c.data, uuidMarker)
		c.data = append(c.data, id[:]...)
		return
	}
	c.data = binary.AppendUvarint(c.data, uint64(len(s)))
	c.data = append(c.data, s...)
}

// batch returns the finished batch in a new slice.
func (c *encoder) batch() []byte {
	out := make([]byte, 0, len(c.data)+checksumBytes)
	out = append(out, c.data...)
	return binary.BigEndian.AppendUint32(out, crc32.Checksum(c.data, castagnoli))
}

// parseUUID accepts the canonical lower-case form only, so that decoding
// returns the same text.
func parseUUID(s string) (id [uuidBytes]byte, ok bool) {
	if len(s) != uuidTextBytes {
		return id, false
	}
	at := 0
	for i := 0; i < len(s); {
		if i == 8 || i == 13 || i == 18 || i == 23 {
			if s[i] != '-' {
				return id, false
			}
			i++
			continue
		}
		high, low := hexDigit(s[i]), hexDigit(s[i+1])
		if high < 0 || low < 0 {
			return id, false
		}
		id[at] = byte(high<<4 | low)
		at++
		i += 2
	}
	return id, true
}

func hexDigit(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	}
	return -1
}

func formatUUID(id []byte) string {
	h := hex.EncodeToString(id)
	return h[:8] + "-" + h[8:12] + "-" + h[12:16] + "-" + h[16:20] + "-" + h[20:]
}

// decoder reads one batch. After the first error, err is set and all reads
// return zero values.
type decoder struct {
	rest       []byte
	texts      []string
	lastMillis int64
	err        error
}

// decodeBatch returns all entries of a batch, or an error that matches
// ErrDamaged.
func decodeBatch(data []byte) ([]Entry, error) {
	if len(data) < batchOverheadBytes || data[0] != batchMagic || data[1] != batchVersion {
		return nil, fmt.Errorf("%w: unknown header", ErrDamaged)
	}
	body, sum := data[:len(data)-checksumBytes], data[len(data)-checksumBytes:]
	if binary.BigEndian.Uint32(sum) != crc32.Checksum(body, castagnoli) {
		return nil, fmt.Errorf("%w: wrong checksum", ErrDamaged)
	}
	d := &decoder{rest: body[headerBytes:]}
	var entries []Entry
	for len(d.rest) > 0 {
		e := d.readEntry()
		if d.err == nil {
			d.err = e.check()
		}
		if d.err != nil {
			return nil, fmt.Errorf("%w: entry %d: %w", ErrDamaged, len(entries), d.err)
		}
		entries = append(entries, e)
	}
	return entries, nil
}

var errInvalidField = errors.New("field beyond the end")

func (d *decoder) readEntry() Entry {
	e := Entry{Organisation: d.readText(), Model: d.readText(), Version: d.readText(), RequestKey: d.readKey()}
	e.PromptTokens = int64(d.readUvarint())
	e.CompletionTokens = int64(d.readUvarint())
	e.CostMicros = int64(d.readUvarint())
	d.lastMillis += d.readVarint()
	e.Time = time.UnixMilli(d.lastMillis).UTC()
	return e
}

func (d *decoder) readText() string {
	n := d.readUvarint()
	if n > 0 {
		if n > uint64(len(d.texts)) {
			d.err = errInvalidField
			return ""
		}
		return d.texts[n-1]
	}
	s := string(d.readBytes(d.readUvarint()))
	d.texts = append(d.texts, s)
	return s
}

func (d *decoder) readKey() string {
	n := d.readUvarint()
	if n != uuidMarker {
		return string(d.readBytes(n))
	}
	id := d.readBytes(uuidBytes)
	if d.err != nil {
		return ""
	}
	return formatUUID(id)
}

func (d *decoder) readBytes(n uint64) []byte {
	if d.err != nil || n > uint64(len(d.rest)) {
		d.err = errInvalidField
		return nil
	}
	taken := d.rest[:n]
	d.rest = d.rest[n:]
	return taken
}

func (d *decoder) readUvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	return advance(d, v, n)
}

func (d *decoder) readVarint() int64 {
	v, n := binary.Varint(d.rest)
	return advance(d, v, n)
}

// advance skips the n bytes of a decoded number and returns its value v. An n
// that is not positive, which binary.Uvarint and binary.Varint return for an
// invalid number, sets err.
func advance[T any](d *decoder, v T, n int) T {
	if d.err != nil || n <= 0 {
		d.err = errInvalidField
		var zero T
		return zero
	}
	d.rest = d.rest[n:]
	return v
}
