// This file contains the wire format of messages between peers. It makes no decisions: when messages are sent and
// what follows from them is in balancer.go.

package balance

import "encoding/binary"

// The first byte of a message is the format version and the kind.
const (
	messageInFlight byte = 0x11 + iota // to a coordinator: the sender's commands in flight at a backend
	messageRequest                     // to a coordinator: request for a backend with capacity in the cell
	messageGrant                       // the coordinator's reply: a backend, or none
	messageSize     = 7                // bytes
)

// Kinds of the extended format, which appends the sender's incarnation. Earlier versions do not understand it.
const (
	messageExtended byte = 0x10 // added to the kind
	extendedSize         = messageSize + 9
)

// message is one message between peers.
type message struct {
	kind      byte
	cell, tag uint16 // the cell, and the backend's tag within it
	amount    byte
	flag      byte
	sequence  byte // sequence number of the sender's reports on a backend, or of its requests; 0 in the older format
}

// Values of flag.
const (
	flagNone      byte = iota
	flagSent           // a granted command was sent or will not be: the reservation ends
	flagFailed         // a relay has just failed
	flagGranted        // the tagged backend is granted
	flagTentative      // granted by a coordinator that does not yet know all usage; extended format only
)

// encode returns the message in the older format.
func (m message) encode() []byte {
	data := binary.LittleEndian.AppendUint16([]byte{m.kind}, m.cell)
	return append(binary.LittleEndian.AppendUint16(data, m.tag), m.amount, m.flag)
}

// encodeExtended returns the message in the extended format with the sender's incarnation.
func (m message) encodeExtended(incarnation uint64) []byte {
	m.kind += messageExtended
	return append(binary.LittleEndian.AppendUint64(m.encode(), incarnation), m.sequence)
}

// IsMessage reports whether the bytes are a well-formed message.
func IsMessage(data []byte) bool {
	_, _, ok := decodeMessage(data)
	return ok
}

// decodeMessage returns the message and the sender's incarnation, which is 0 in the older format, and reports
// whether the bytes are well-formed.
func decodeMessage(data []byte) (m message, incarnation uint64, ok bool) {
	maxFlag, sequence := flagGranted, byte(0)
	if len(data) == extendedSize {
		if incarnation = binary.LittleEndian.Uint64(data[messageSize:]); incarnation == 0 {
			return m, 0, false
		}
		maxFlag, sequence = flagTentative, data[extendedSize-1]
		data = append([]byte{data[0] - messageExtended}, data[1:messageSize]...)
	}
	if len(data) != messageSize || data[0] < messageInFlight || data[0] > messageGrant || data[6] > maxFlag {
		return m, 0, false
	}
	return message{kind: data[0], cell: binary.LittleEndian.Uint16(data[1:]), tag: binary.LittleEndian.Uint16(data[3:]),
		amount: data[5], flag: data[6], sequence: sequence}, incarnation, true
}
