package httpwire

import (
	"net"
	"strconv"
	"sync"
)

var pieces = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// BorrowBuffer lends a buffer that a large body passes through; it goes back with Done.
func BorrowBuffer() *[]byte { return pieces.Get().(*[]byte) }

// ReturnBuffer takes one back.
func ReturnBuffer(piece *[]byte) { pieces.Put(piece) }

// LastChunk ends a body in chunks.
var LastChunk = []byte("0\r\n\r\n")

// FrameChunk is a part of a body as it goes out, in chunks or as it is. The frame is room to write the chunk's size in.
func FrameChunk(part []byte, chunked bool, frame []byte) net.Buffers {
	if !chunked {
		return net.Buffers{part}
	}
	frame = append(strconv.AppendInt(frame[:0], int64(len(part)), 16), "\r\n"...)
	return net.Buffers{frame, part, []byte("\r\n")}
}
