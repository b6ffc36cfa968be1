package judge

import (
	"cmp"
	"slices"
	"time"
)

// scheduleWindow is how long the windows are in which planned and dispatched calls are counted.
const scheduleWindow = 100 * time.Millisecond

// Schedule says how well the generator kept to its plan, whatever the system under load did.
type Schedule struct {
	P50, P99 time.Duration // from planned to dispatched
	Worst    float64       // the largest error of a window's count, beyond one call, over its planned count
	GapP50   time.Duration // the median error of the gap between neighbors
	Windows  [][2]int      // calls planned and dispatched in each 100 ms
}

// dispatch is when a call was planned and when the generator dispatched it.
type dispatch struct{ planned, handed time.Duration }

// newSchedule compares when calls were planned with when the generator dispatched them.
func newSchedule(attempts []ClientAttempt) Schedule {
	errors := newHistogram()
	planned, handed := map[int]int{}, map[int]int{}
	var dispatches []dispatch
	for _, attempt := range attempts {
		if attempt.N > 0 || attempt.Inner {
			continue
		}
		planned[int(attempt.Planned/scheduleWindow)]++
		if attempt.Outcome == NotSent && attempt.HandedAt == 0 {
			continue
		}
		record(errors, attempt.HandedAt-attempt.Planned)
		handed[int(attempt.HandedAt/scheduleWindow)]++
		dispatches = append(dispatches, dispatch{attempt.Planned, attempt.HandedAt})
	}
	return Schedule{
		P50:     Percentile(errors, 50),
		P99:     Percentile(errors, 99),
		Worst:   worstWindow(planned, handed),
		GapP50:  medianGapError(dispatches),
		Windows: windows(planned, handed),
	}
}

// windows lists the counts up to the last window for which calls were planned.
func windows(planned, handed map[int]int) [][2]int {
	last := 0
	for window := range planned {
		last = max(last, window)
	}
	counts := make([][2]int, 0, last+1)
	for window := range last + 1 {
		counts = append(counts, [2]int{planned[window], handed[window]})
	}
	return counts
}

// worstWindow is the largest relative error of a window's count. A call may fall to either side of a window's edge, so
// that an error of one is none.
func worstWindow(planned, handed map[int]int) float64 {
	worst := 0.0
	for window, n := range planned {
		excess := max(n, handed[window]) - min(n, handed[window]) - 1
		if excess > 0 {
			worst = max(worst, float64(excess)/float64(n))
		}
	}
	return worst
}

// medianGapError is the median error of the gap between neighboring calls.
func medianGapError(dispatches []dispatch) time.Duration {
	slices.SortFunc(dispatches, func(a, b dispatch) int { return cmp.Compare(a.planned, b.planned) })
	errors := newHistogram()
	for i := 1; i < len(dispatches); i++ {
		before, after := dispatches[i-1], dispatches[i]
		deviation := (after.handed - before.handed) - (after.planned - before.planned)
		record(errors, max(deviation, -deviation))
	}
	return Percentile(errors, 50)
}
