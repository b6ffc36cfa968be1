package frontend

import (
	"testing"
	"unsafe"

	"github.com/stretchr/testify/assert"
)

// Thousands of connections rest at once, and the allocator gives out 320 bytes for this record: a few bytes more cost each of them 32.
func TestARestingConnectionIsASmallRecord(t *testing.T) {
	assert.LessOrEqual(t, unsafe.Sizeof(conn{}), uintptr(320))
}
