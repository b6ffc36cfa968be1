package frontend

import (
	"testing"
	"unsafe"

	"github.com/stretchr/testify/assert"
)

// Thousands of connections may be idle at once. The allocator's size class for this record is 320 bytes: a few more
// bytes would cost each connection 32.
func TestConn_Size(t *testing.T) {
	assert.LessOrEqual(t, unsafe.Sizeof(conn{}), uintptr(320))
}
