// This file owns the bytes of what siblings tell one another. It must never decide anything; what is sent to whom and
// what follows from it stands in balancer.go.
package balance

import "encoding/binary"

// The first byte of a note is the version of this form and its kind.
const (
	noteOut   byte = 0x11 + iota // to a keeper: what the sender has out at a backend
	noteAsk                      // to a keeper: where in the cell is there room?
	noteGrant                    // from it: there, or nowhere
	noteSize  = 7                // bytes
)

// The same kinds with the life of the process that speaks behind, which processes of earlier versions do not read.
const (
	noteLived byte = 0x10 // added to the kind
	livedSize      = noteSize + 9
)

// note is one message.
type note struct {
	kind      byte
	cell, tag uint16 // of which backends, and which of them
	amount    byte
	flag      byte
	turn      byte // of the sender's words on a backend, or of its questions; 0 in the form without a life
}

// What the flag says.
const (
	flagNone    byte = iota
	flagSent         // the command of a grant is out, or will not be: it is in the amount or nowhere
	flagFailed       // a relay has just failed
	flagYes          // the backend named is granted
	flagPerhaps      // the same by a keeper that does not know yet all that is out; only in the form with a life
)

func (n note) bytes() []byte {
	text := binary.LittleEndian.AppendUint16([]byte{n.kind}, n.cell)
	return append(binary.LittleEndian.AppendUint16(text, n.tag), n.amount, n.flag)
}

// lived is the note in the form that names the life of who speaks.
func (n note) lived(life uint64) []byte {
	n.kind += noteLived
	return append(binary.LittleEndian.AppendUint64(n.bytes(), life), n.turn)
}

// IsNote tells whether the bytes have the form of a message.
func IsMessage(text []byte) bool {
	_, _, ok := readNote(text)
	return ok
}

// readNote tells also which life speaks, 0 in the form that has none, and whether the bytes are a note at all.
func readNote(text []byte) (n note, life uint64, ok bool) {
	most, turn := flagYes, byte(0)
	if len(text) == livedSize {
		if life = binary.LittleEndian.Uint64(text[noteSize:]); life == 0 {
			return n, 0, false
		}
		most, turn = flagPerhaps, text[livedSize-1]
		text = append([]byte{text[0] - noteLived}, text[1:noteSize]...)
	}
	if len(text) != noteSize || text[0] < noteOut || text[0] > noteGrant || text[6] > most {
		return n, 0, false
	}
	return note{kind: text[0], cell: binary.LittleEndian.Uint16(text[1:]), tag: binary.LittleEndian.Uint16(text[3:]),
		amount: text[5], flag: text[6], turn: turn}, life, true
}
