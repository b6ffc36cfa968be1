// Package settings reads the settings of an instance: its tier, methods, tenants, limits and rules, one JSON object
// with times in milliseconds. The simulator sends it in its first message, a node finds it in its configuration; the
// names are the same.
//
// The package decodes and validates the object (document.go), and has what a reload needs: whether a changed file is
// complete (complete.go), names that keep their numbers (slots.go), and rules for the time in which clients may still
// go by those before (transition.go). It reads no files, and holds no state.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"robincart/decide"
)

const (
	// MaxInstances is how many nodes a tier may have. Each takes its part of quotas and of the budget of servers in
	// slow start by that number: one far too high leaves every node next to nothing.
	MaxInstances = 20_000

	// maxMilliseconds bounds durations to a day: what is longer means never.
	maxMilliseconds = 86_400_000

	maxLoadReport = 256 // bytes
	maxLoadValue  = 1e9
)

// Instance are the settings of one instance: those that its decisions use, and those for its clients and sockets.
type Instance struct {
	decide.Settings

	MethodNames       []string // as clients name them, in the order of Methods
	TenantNames       []string
	ZoneNames         []string
	ReportFields      []string      // of a load report, in this order
	LoadReports       bool          // servers send reports in their responses
	WorkHints         bool          // clients give hints of what their requests cost
	ConnectTimeout    time.Duration // 0: not set
	ServerIdleTimeout time.Duration // after which a server closes an idle connection; 0: not set
	MaxInFlight       int           // RPCs; 0: not set
}

// Parse decodes and validates settings. The error names the first setting that can't be used.
func Parse(text []byte) (*Instance, error) {
	d := &document{}
	if err := json.Unmarshal(text, d); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := d.validate(); err != nil {
		return nil, err
	}
	return d.instance(), nil
}

// ValidateNames checks what a node needs beside Parse's checks, since its clients name methods and tenants.
func (i *Instance) ValidateNames() error {
	if err := validateNames("Classes", i.MethodNames); err != nil {
		return err
	}
	return validateNames("Tenants", i.TenantNames)
}

func validateNames(list string, names []string) error {
	for n, name := range names {
		setting := fmt.Sprintf("%s[%d].Name", list, n)
		if name == "" {
			return &SettingError{setting, "is missing"}
		}
		if first := slices.Index(names, name); first < n {
			return &SettingError{setting, fmt.Sprintf("is %q, as that of %s[%d]", name, list, first)}
		}
	}
	return nil
}

// ParseLoadReport decodes a server's report: its values, separated by commas, in the order of ReportFields.
func (i *Instance) ParseLoadReport(report string) (*decide.LoadReport, error) {
	values := strings.Split(report, ",")
	if len(report) > maxLoadReport || len(values) != len(i.ReportFields) {
		return nil, fmt.Errorf("load report %.60q has %d values, not %d", report, len(values), len(i.ReportFields))
	}
	l := &decide.LoadReport{InFlight: -1}
	for n, value := range values {
		value = strings.TrimSpace(value)
		if value == "-" {
			continue
		}
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !(math.Abs(x) <= maxLoadValue) {
			return nil, fmt.Errorf("load value %.60q is not a number", value)
		}
		if i.ReportFields[n] == "concurrent" {
			l.InFlight = max(0, x) // noise may take it below
		}
	}
	return l, nil
}

// Milliseconds converts milliseconds of the settings into a Duration, a day at most.
func Milliseconds(ms float64) time.Duration {
	return time.Duration(min(ms, maxMilliseconds) * float64(time.Millisecond))
}
