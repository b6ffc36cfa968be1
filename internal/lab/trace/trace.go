// Package trace reads and writes recorded loads: JSON lines or CSV, one request a line, with times in microseconds, so
// that bursts finer than a millisecond are preserved. What is recorded, and how it is played, is up to others.
package trace

import (
	"time"

	"robincart/internal/lab/plan"
)

const (
	maxLine     = 64 << 10  // bytes
	maxDuration = time.Hour // from the first request to the last
	maxAtUS     = 1e15      // of a row's time, on either side of 0
	maxBody     = 64 << 10  // bytes
	maxMS       = 1e6       // of a row's work and wait
)

// Row is one recorded request. The outcome of a run is part of an export and is ignored by an import.
type Row struct {
	AtUS   float64 `json:"at_us"`
	Method string  `json:"method"`
	Tenant string  `json:"tenant,omitempty"`
	Key    uint32  `json:"key,omitempty"`
	Body   uint32  `json:"body,omitempty"`
	WorkMS float64 `json:"work_ms,omitempty"`
	WaitMS float64 `json:"wait_ms,omitempty"`

	Outcome   string  `json:"outcome,omitempty"`
	SentUS    float64 `json:"sent_us,omitempty"`
	LatencyUS float64 `json:"latency_us,omitempty"`
}

// columns lists the columns of the CSV form, in the order of writing.
var columns = []string{
	"at_us",
	"method",
	"tenant",
	"key",
	"body",
	"work_ms",
	"wait_ms",
	"outcome",
	"sent_us",
	"latency_us",
}

// Names gives methods and tenants their indices in the mix.
type Names struct {
	Methods, Tenants []string
	Mix              plan.Mix // work and wait that a row does not state are drawn from it
	Seed             uint64
}
