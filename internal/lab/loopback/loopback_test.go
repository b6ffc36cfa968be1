package loopback

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestAddress(t *testing.T) {
	for n, want := range map[int]string{
		0:      "127.20.0.1",
		249:    "127.20.0.250",
		250:    "127.20.1.1",
		62_499: "127.20.249.250",
		62_500: "127.21.0.1",
	} {
		assert.Equal(t, want, Address(20, n))
	}
}
