package handover

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
)

// messageKind is the kind of a message, which is its first byte.
type messageKind byte

// Kinds of messages. They are part of the wire form: other versions of the program write and read them.
const (
	kindState      messageKind = 'S' // predecessor to successor, the first message
	kindReady      messageKind = 'T' // successor to predecessor: the successor accepts clients
	kindRequestIDs messageKind = 'I' // predecessor to successor: IDs of requests that must not be sent again
	kindConnection messageKind = 'C' // predecessor to successor, with a file descriptor
	kindCommand    messageKind = 'W' // either way: an operator's command
	kindSavedState messageKind = 'K' // only in files, see Save
)

const (
	// maxPayloadBytes is the longest payload that is accepted.
	maxPayloadBytes = 16 << 20
	// headerSize is one byte for the kind, four for the payload's length and four for the payload's checksum.
	headerSize       = 9
	payloadSizeStart = 1
	checksumStart    = 5
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ProtocolError reports bytes that are no message of this protocol, or a message of an unexpected kind.
type ProtocolError struct {
	Kind   byte // the message's first byte
	Reason string
	Cause  error // may be nil
}

func (e *ProtocolError) Error() string {
	text := fmt.Sprintf("handover: message of kind %q: %s", e.Kind, e.Reason)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

func (e *ProtocolError) Unwrap() error { return e.Cause }

// encode returns a message: a header and the payload as JSON.
func encode(kind messageKind, payload any) ([]byte, error) {
	text, err := json.Marshal(payload)
	if err != nil {
		return nil, err
	}
	encoded := append(make([]byte, headerSize, headerSize+len(text)), text...)
	encoded[0] = byte(kind)
	binary.BigEndian.PutUint32(encoded[payloadSizeStart:], uint32(len(text)))
	binary.BigEndian.PutUint32(encoded[checksumStart:], crc32.Checksum(text, castagnoli))
	return encoded, nil
}

// header is the start of a message. Its length must be headerSize.
type header []byte

func (h header) kind() messageKind { return messageKind(h[0]) }

// payloadSize returns how many bytes follow the header.
func (h header) payloadSize() (int, error) {
	size := binary.BigEndian.Uint32(h[payloadSizeStart:])
	if size > maxPayloadBytes {
		reason := fmt.Sprintf("expected at most %d bytes, found %d", maxPayloadBytes, size)
		return 0, &ProtocolError{Kind: h[0], Reason: reason}
	}
	return int(size), nil
}

// verify checks the payload against the checksum in the header.
func (h header) verify(payload []byte) error {
	if binary.BigEndian.Uint32(h[checksumStart:]) != crc32.Checksum(payload, castagnoli) {
		return &ProtocolError{Kind: h[0], Reason: "checksum mismatch"}
	}
	return nil
}
