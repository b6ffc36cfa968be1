package wait

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestSleep(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for name, sleep := range map[string]func(){
		"context ended":  func() { Sleep(ended, time.Hour) },
		"delay passed":   func() { Sleep(t.Context(), time.Millisecond) },
		"no delay":       func() { Sleep(t.Context(), 0) },
		"negative delay": func() { Sleep(t.Context(), -time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			begin := time.Now()
			sleep()
			assert.Less(t, time.Since(begin), time.Minute)
		})
	}
}

func TestSignal_SetTwiceIsReceivedOnce(t *testing.T) {
	signal := NewSignal()
	assert.Empty(t, signal)
	signal.Set()
	signal.Set()
	<-signal
	assert.Empty(t, signal)
	signal.Set()
	assert.Len(t, signal, 1)
}
