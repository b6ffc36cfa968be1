package httpwire

import (
	"net"
	"strconv"
	"sync"
)

// appendHeader appends a header, unless its value is empty.
func appendHeader(to []byte, name, value string) []byte {
	if value == "" {
		return to
	}
	to = append(to, name...)
	to = append(to, ": "...)
	to = append(to, value...)
	return append(to, lineEnd...)
}

func appendIntHeader(to []byte, name string, value int64) []byte {
	to = append(to, name...)
	to = append(to, ": "...)
	to = strconv.AppendInt(to, value, 10)
	return append(to, lineEnd...)
}

// LastChunk ends a chunked body.
var LastChunk = []byte("0\r\n\r\n")

// FrameChunk returns the buffers to write for a part of a body, as a chunk or as it is. The frame is space for the line
// with the chunk's size.
func FrameChunk(part []byte, chunked bool, frame []byte) net.Buffers {
	if !chunked {
		return net.Buffers{part}
	}
	frame = strconv.AppendInt(frame[:0], int64(len(part)), 16)
	frame = append(frame, lineEnd...)
	return net.Buffers{frame, part, []byte(lineEnd)}
}

// copyBufferSize is the size of the buffers that streamed bodies are copied through.
const copyBufferSize = 16 << 10

var copyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferSize)
	return &buffer
}}

// BorrowBuffer returns a buffer to copy a streamed body through. ReturnBuffer has to be called when it is done.
func BorrowBuffer() *[]byte { return copyBuffers.Get().(*[]byte) }

// ReturnBuffer takes back a buffer of BorrowBuffer.
func ReturnBuffer(buffer *[]byte) { copyBuffers.Put(buffer) }
