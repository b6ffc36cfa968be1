package judge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxRecorded       = 10 * time.Minute // longer durations are recorded as this
	significantDigits = 3
)

// newHistogram returns a histogram of durations in µs.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecorded.Microseconds(), significantDigits)
}

// record adds a duration to a histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Microseconds(), 0), maxRecorded.Microseconds()))
}

// Percentile reads a percentile, from 0 to 100, of a verdict's histogram.
func Percentile(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond
}
