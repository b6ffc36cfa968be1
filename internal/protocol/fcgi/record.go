// Package fcgi reads and writes the records of FastCGI 1.0, for applications and for gateways (web servers). A Reader
// reads records, an Application or a Gateway owns the state of a connection's requests and translates records into
// events, and the Append functions write. It also parses the head of a response as CGI has it.
//
// The package has no connection and decides nothing: bytes in, events out. Whatever lengths a peer announces, the
// memory of a Reader is its buffer, and that of a request is what Limits allows.
package fcgi

import (
	"encoding/binary"
	"errors"
)

// RecordType is the type of a record.
type RecordType uint8

// The types of records that FastCGI defines. Streams are sent as any number of records, the last of which is empty.
const (
	TypeBeginRequest    RecordType = 1 + iota // the gateway begins a request
	TypeAbort                                 // the gateway aborts it
	TypeEndRequest                            // the application ends it
	TypeParams                                // stream: names and values that describe the request
	TypeStdin                                 // stream: the request's body
	TypeStdout                                // stream: the response
	TypeStderr                                // stream: the application's messages
	TypeData                                  // stream: only for filters
	TypeGetValues                             // management: the gateway requests variables
	TypeGetValuesResult                       // management: the application's values of them
	TypeUnknown                               // management: the response to a type that is not known
)

func (r RecordType) isStream() bool { return r >= TypeParams && r <= TypeData }

// roleResponder is the role in which an application serves requests by itself. The others are not supported.
const roleResponder uint16 = 1

// Status is how an application ends a request (FCGI_END_REQUEST's protocolStatus).
type Status uint8

// The protocol's statuses. All but StatusComplete reject the request.
const (
	StatusComplete      Status = iota
	StatusCantMultiplex        // the connection takes one request at a time
	StatusOverloaded
	StatusUnknownRole
)

// Variables that a gateway can request.
const (
	variableMaxConns    = "FCGI_MAX_CONNS"
	variableMaxRequests = "FCGI_MAX_REQS"
	variableMultiplexes = "FCGI_MPXS_CONNS"
)

const (
	version       = 1
	headerSize    = 8
	fixedBodySize = 8 // of TypeBegin, TypeEnd and TypeUnknown
	maxPadding    = 255

	// flagKeepConn is a flag of TypeBegin: the connection is used for more requests.
	flagKeepConn = 1

	// MaxContent is how many bytes of content a record can have.
	MaxContent = 1<<16 - 1
	// MaxManagement is how many a management record may have: it has to be complete before it is read.
	MaxManagement = 1024
	// MinBuffer is the least size of a Reader's buffer.
	MinBuffer = headerSize + MaxManagement
)

// ErrFraming means that the data is not, or no longer, a stream of records. Nothing behind it can be read.
var ErrFraming = errors.New("not a FastCGI record")

// recordHeader is a record's header.
type recordHeader struct {
	version    uint8
	recordType RecordType
	id         uint16 // of the request; 0: a management record
	length     int    // of the content
	padding    int    // behind the content
}

// parseHeader parses the header at the start of data.
func parseHeader(data []byte) recordHeader {
	return recordHeader{
		version:    data[0],
		recordType: RecordType(data[1]),
		id:         binary.BigEndian.Uint16(data[2:]),
		length:     int(binary.BigEndian.Uint16(data[4:])),
		padding:    int(data[6]),
	}
}

// isStream reports whether the record is part of a request's stream, so that it can be read in pieces.
func (h recordHeader) isStream() bool { return h.recordType.isStream() && h.id != 0 }

// RecordHeader returns the header of a record whose content is written beside it. Records are not padded.
func RecordHeader(recordType RecordType, id uint16, length int) [headerSize]byte {
	return [headerSize]byte{
		version,
		byte(recordType),
		byte(id >> 8),
		byte(id),
		byte(length >> 8),
		byte(length),
	}
}

// Records returns the buffers to write for a part of a stream, without a copy of it.
func Records(recordType RecordType, id uint16, content []byte) (buffers [][]byte) {
	for len(content) > 0 {
		n := min(len(content), MaxContent)
		header := RecordHeader(recordType, id, n)
		buffers = append(buffers, header[:], content[:n])
		content = content[n:]
	}
	return buffers
}

func appendRecord(to []byte, recordType RecordType, id uint16, content []byte) []byte {
	header := RecordHeader(recordType, id, len(content))
	to = append(to, header[:]...)
	return append(to, content...)
}

// AppendStream appends a part of a stream, in as many records as it needs. It appends nothing for an empty part: an
// empty record would end the stream.
func AppendStream(to []byte, recordType RecordType, id uint16, content []byte) []byte {
	for len(content) > 0 {
		n := min(len(content), MaxContent)
		to = appendRecord(to, recordType, id, content[:n])
		content = content[n:]
	}
	return to
}

// AppendStreamEnd appends the end of a stream.
func AppendStreamEnd(to []byte, recordType RecordType, id uint16) []byte {
	return appendRecord(to, recordType, id, nil)
}

// AppendBegin appends the begin of a request to a responder.
func AppendBegin(to []byte, id uint16, keepConn bool) []byte {
	body := [fixedBodySize]byte{1: byte(roleResponder)}
	if keepConn {
		body[2] = flagKeepConn
	}
	return appendRecord(to, TypeBeginRequest, id, body[:])
}

// AppendAbort appends a gateway's abort of a request.
func AppendAbort(to []byte, id uint16) []byte { return appendRecord(to, TypeAbort, id, nil) }

// AppendEnd appends an application's end of a request.
func AppendEnd(to []byte, id uint16, appStatus uint32, status Status) []byte {
	var body [fixedBodySize]byte
	binary.BigEndian.PutUint32(body[:], appStatus)
	body[4] = byte(status)
	return appendRecord(to, TypeEndRequest, id, body[:])
}

// AppendGetValues appends a gateway's request for all variables.
func AppendGetValues(to []byte) []byte {
	var pairs []byte
	for _, name := range []string{variableMaxConns, variableMaxRequests, variableMultiplexes} {
		pairs = AppendPair(pairs, name, "")
	}
	return appendRecord(to, TypeGetValues, 0, pairs)
}
