package run

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// A judge that misses a violation, or finds one where there is none, is of no use to any claim.
func TestSelfCheck(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	findings, err := SelfCheck(ctx)
	require.NoError(t, err)
	var text bytes.Buffer
	assert.True(t, WriteFindings(&text, findings), "%s", &text)
	t.Logf("\n%s", &text)
	goleak.VerifyNone(t, leaks)
}
