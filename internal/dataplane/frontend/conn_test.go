package frontend

import (
	"testing"
	"unsafe"

	"github.com/stretchr/testify/assert"
)

// Thousands of connections may be idle at once. The allocator's size class for a conn is 320 bytes. If the struct grew
// beyond that by a few bytes, each connection would use 32 bytes more.
func TestConn_Size(t *testing.T) {
	assert.LessOrEqual(t, unsafe.Sizeof(conn{}), uintptr(320))
}
