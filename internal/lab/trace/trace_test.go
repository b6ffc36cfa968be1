package trace

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/plan"
)

var names = Names{Methods: []string{"find-table", "book-table"}, Tenants: []string{"acme", "zeta"}}

func TestRead_WhatWasWritten(t *testing.T) {
	var rows []Row
	for i := range 500 { // inside one millisecond
		rows = append(rows, Row{
			AtUS:      float64(i) * 1.5,
			Method:    names.Methods[i%2],
			Tenant:    names.Tenants[i%2],
			Key:       uint32(i),
			Body:      uint32(i % 7),
			WorkMS:    0.5,
			WaitMS:    0.25,
			Outcome:   "ok",
			SentUS:    3,
			LatencyUS: 4,
		})
	}
	read := map[string][]plan.Arrival{}
	for _, form := range []string{"jsonl", "csv"} {
		t.Run(form, func(t *testing.T) {
			var b bytes.Buffer
			require.NoError(t, Write(&b, form, rows))
			arrivals, err := Read(&b, names)
			require.NoError(t, err)
			require.Len(t, arrivals, 500)
			assert.Equal(t, 1500*time.Nanosecond, arrivals[1].At)
			last := plan.Arrival{At: 748500, Method: 1, Tenant: 1, Key: 499, Body: 2, Work: 0.5, Wait: 0.25}
			assert.Equal(t, last, arrivals[499])
			read[form] = arrivals
		})
	}
	assert.Equal(t, read["jsonl"], read["csv"])
}

func TestWrite_UnknownForm(t *testing.T) {
	assert.Error(t, Write(&bytes.Buffer{}, "xml", []Row{{Method: "find-table"}}))
}

func TestRead_Errors(t *testing.T) {
	good := `{"at_us":1,"method":"find-table"}` + "\n"
	for name, c := range map[string]struct{ text, message string }{
		"empty":             {"", "no request"},
		"cut off":           {good + "{", "line 2"},
		"no method":         {good + `{"at_us":1}`, "line 2: method"},
		"unknown field":     {good + `{"at_us":1,"speed":3}`, "line 2"},
		"unknown tenant":    {good + good + `{"at_us":1,"method":"find-table","tenant":"x"}`, "line 3: tenant"},
		"time out of range": {`{"at_us":1e18,"method":"find-table"}`, "line 1: at_us"},
		"body too large":    {`{"at_us":1,"method":"find-table","body":70000}`, "line 1: a body"},
		"negative work":     {`{"at_us":1,"method":"find-table","work_ms":-1}`, "line 1: work_ms"},
		"too long":          {good + `{"at_us":9e9,"method":"find-table"}`, "longer than"},
		"unknown column":    {"at_us,method,colour\n", `line 1: column "colour"`},
		"repeated column":   {"at_us,at_us\n", "line 1"},
		"no time column":    {"method\n", "line 1"},
		"field missing":     {"at_us,method\n1\n", "line 2: 1 fields"},
		"time is no number": {"at_us,method\nx,find-table\n", "line 2: at_us"},
		"negative key":      {"at_us,method,key\n1,find-table,-1\n", "line 2: key"},
		"line too long":     {strings.Repeat("x", 70000), "too long"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Read(strings.NewReader(c.text), names)
			assert.ErrorContains(t, err, c.message)
		})
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"at_us":1,"method":"find-table","key":3}`))
	f.Add([]byte("at_us,method,tenant\n5,book-table,acme\n1,find-table,\n"))
	f.Add([]byte("at_us,method\n\"1\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		arrivals, err := Read(bytes.NewReader(text), names)
		if err != nil {
			return
		}
		last := time.Duration(0)
		for _, a := range arrivals {
			if a.At < last || int(a.Method) > 1 || int(a.Tenant) > 1 || a.Body > 64<<10 || !(a.Work >= 0) {
				t.Fatalf("%+v", a)
			}
			last = a.At
		}
	})
}
