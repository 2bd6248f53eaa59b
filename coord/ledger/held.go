package ledger

import (
	"encoding/binary"
	"fmt"
	"time"
)

// heldLog holds copies for another daemon.
type heldLog struct {
	entryLog
	seen time.Time // when the owner was last among the peers
}

// copyMessage carries consecutive entries of one owner.
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
	m := copyMessage{Owner: string(d.take(d.uvarint())), First: d.uvarint()}
	m.Batch = d.rest
	if d.err != nil || m.Owner == "" {
		return m, fmt.Errorf("%w: copy message", ErrDamaged)
	}
	return m, nil
}

// Accept stores copies for another daemon. It returns ErrFull when the bound
// on memory is reached; the sender then chooses another daemon.
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
	if l.used+l.reserved+len(entries) > l.o.MaxBytes {
		l.stats.copiesRefused.Add(int64(len(decoded)))
		return ErrFull
	}
	h := l.held[m.Owner]
	if h == nil {
		h = &heldLog{seen: time.Now()}
		l.held[m.Owner] = h
	}
	for i, e := range decoded {
		l.used += h.add(m.First+uint64(i), e, l.o.SegmentBytes)
	}
	return nil
}

// AcceptRelease drops the copies of an owner up to the number through, which
// the owner has flushed.
func (l *Ledger) AcceptRelease(owner string, through uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.held[owner]
	if h == nil {
		return
	}
	l.used -= h.drop(through)
	// Later copies go into another batch, so that the next release can drop
	// this one although newer copies have arrived.
	l.used += h.seal()
	if len(h.segments) == 0 {
		delete(l.held, owner)
	}
}
