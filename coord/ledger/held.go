package ledger

import (
	"encoding/binary"
	"fmt"
	"time"
)

// heldLog holds copies of the entries of another daemon.
type heldLog struct {
	entryLog
	lastSeen time.Time // when the owner was last among the peers
}

// copyMessage is the content of a CopyEntries call: consecutive entries of one
// owner.
type copyMessage struct {
	Owner string
	First uint64 // number of the first entry
	Batch []byte
}

func (m copyMessage) encode() []byte {
	out := make([]byte, 0, len(m.Owner)+len(m.Batch)+2*binary.MaxVarintLen64)
	out = binary.AppendUvarint(out, uint64(len(m.Owner)))
	out = append(out, m.Owner...)
	out = binary.AppendUvarint(out, m.First)
	return append(out, m.Batch...)
}

func decodeCopyMessage(data []byte) (copyMessage, error) {
	d := &decoder{rest: data}
	m := copyMessage{Owner: string(d.readBytes(d.readUvarint())), First: d.readUvarint()}
	m.Batch = d.rest
	if d.err != nil || m.Owner == "" {
		return m, fmt.Errorf("%w: copy message", ErrDamaged)
	}
	return m, nil
}

// Accept stores copies for another daemon. It returns ErrFull when MaxBytes is
// reached; the sender then tries another daemon.
func (l *Ledger) Accept(entries []byte) error {
	m, err := decodeCopyMessage(entries)
	if err != nil {
		return err
	}
	decoded, err := decodeBatch(m.Batch)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining {
		return ErrDraining
	}
	if l.usedBytes+l.reservedBytes+len(entries) > l.opts.MaxBytes {
		l.stats.copiesRefused.Add(int64(len(decoded)))
		return ErrFull
	}
	h := l.held[m.Owner]
	if h == nil {
		h = &heldLog{lastSeen: time.Now()}
		l.held[m.Owner] = h
	}
	for i, e := range decoded {
		l.usedBytes += h.add(m.First+uint64(i), e, l.opts.SegmentBytes)
	}
	return nil
}

// AcceptRelease drops the copies of an owner up to and including the number
// through, because the owner has flushed these entries.
func (l *Ledger) AcceptRelease(owner string, through uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.held[owner]
	if h == nil {
		return
	}
	l.usedBytes -= h.dropThrough(through)
	// The open batch is closed, so that the next release can drop it although
	// newer copies have arrived.
	l.usedBytes += h.seal()
	if len(h.segments) == 0 {
		delete(l.held, owner)
	}
}
