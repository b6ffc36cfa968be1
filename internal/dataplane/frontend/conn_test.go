package frontend

import (
	"testing"
	"unsafe"

	"github.com/stretchr/testify/assert"
)

// Thousands of connections are idle at once. The allocator has 320 bytes for this record: a few bytes more cost each
// of them 32.
func TestConn_Size(t *testing.T) {
	assert.LessOrEqual(t, unsafe.Sizeof(conn{}), uintptr(320))
}
