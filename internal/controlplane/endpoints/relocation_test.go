package endpoints

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against polls that come later than 4 s after a change of discovery's address, and against polls that keep a
// busy discovery from answering.
func TestMaxPauseInRelocation(t *testing.T) {
	const longest = 3250 * time.Millisecond
	for _, x := range []struct {
		nodes               int
		left, rejectionTime time.Duration
		want                time.Duration
	}{
		{1, 4 * time.Second, 0, 2 * time.Second},
		{1, time.Second, 0, 500 * time.Millisecond},
		{1, 200 * time.Millisecond, 0, 250 * time.Millisecond},
		{1, 0, 0, longest},
		{1, -time.Second, 0, longest},
		{5, 4 * time.Second, 7 * time.Millisecond, 2 * time.Second},
		{5, 2 * time.Second, 7 * time.Millisecond, 1250 * time.Millisecond},
		{5, time.Second, 7 * time.Millisecond, 750 * time.Millisecond},
		{8, 4 * time.Second, 7 * time.Millisecond, 3 * time.Second},
		{9, 4 * time.Second, 0, longest},
		{20_000, 4 * time.Second, time.Hour, longest},
		{5, 2 * time.Second, 70 * time.Millisecond, 1400 * time.Millisecond},
		{5, 2 * time.Second, time.Second, longest},
	} {
		t.Run(fmt.Sprint(x.nodes, " ", x.left, " ", x.rejectionTime), func(t *testing.T) {
			assert.Equal(t, x.want, maxPauseInRelocation(x.nodes, x.left, x.rejectionTime, longest))
		})
	}
}

// Guards against a series of changes of the address in which each change would bring more polls.
func TestRelocation_SeriesOfChangesIsBounded(t *testing.T) {
	const longest = 3250 * time.Millisecond
	r := &relocation{}
	now := time.Now()
	assert.Equal(t, longest, r.boundPause(1, now, 0, longest), "the address has not changed")
	for range maxRelocationPolls {
		r.begin(now)
		assert.Less(t, r.boundPause(1, now, 0, longest), longest)
	}
	r.begin(now)
	assert.Equal(t, longest, r.boundPause(1, now, 0, longest))
	r.end()
	assert.Equal(t, longest, r.boundPause(1, now, 0, longest), "the list has arrived")
	r.begin(now)
	assert.Less(t, r.boundPause(1, now, 0, longest), longest)
}
