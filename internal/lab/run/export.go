package run

import (
	"errors"
	"os"
	"strings"
	"time"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/judge"
	"robincart/internal/lab/plan"
	"robincart/internal/lab/trace"
)

// exportTrace writes a load as a trace, with what came of each call. Arrivals count from the load's start. The ending
// of the path's name chooses the form.
func exportTrace(path string, e *experiment.Experiment, arrivals []plan.Arrival, ledger *judge.Ledger) error {
	form := "jsonl"
	if strings.HasSuffix(path, ".csv") {
		form = "csv"
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(trace.Write(f, form, traceRows(e, arrivals, ledger)), f.Close())
}

// traceRows returns the rows of a trace.
func traceRows(e *experiment.Experiment, arrivals []plan.Arrival, ledger *judge.Ledger) []trace.Row {
	rows := make([]trace.Row, len(arrivals))
	methods, tenants := e.MethodNames(), e.TenantNames()
	for i, arrival := range arrivals {
		rows[i] = trace.Row{
			AtUS:   microseconds(arrival.At),
			Method: methods[arrival.Method],
			Tenant: tenants[arrival.Tenant],
			Key:    arrival.Key,
			Body:   arrival.Body,
			WorkMS: float64(arrival.Work),
			WaitMS: float64(arrival.Wait),
		}
	}
	ok := judge.OK.String()
	ledger.EachAttempt(func(attempt judge.ClientAttempt) {
		if attempt.Inner || int(attempt.Call) >= len(rows) {
			return
		}
		row := &rows[attempt.Call]
		if row.Outcome == ok {
			return // the attempt that counts is here already
		}
		row.Outcome = attempt.Outcome.String()
		row.SentUS = microseconds(attempt.Sent)
		row.LatencyUS = microseconds(attempt.Answered - attempt.Planned)
	})
	return rows
}

// microseconds is a duration as traces have it.
func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }
