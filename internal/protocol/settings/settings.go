// Package settings reads the object that tells an instance its tier, methods, tenants, limits and rules. The
// simulator sends it in its first message, a real node finds it in its configuration; the names are the same.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"robincart/decide"
)

// Instance is what one instance is told: what its decisions use, and what only its door and its sockets need.
type Instance struct {
	decide.Settings

	MethodNames       []string // as callers name them, in the order of Methods
	TenantNames       []string
	ZoneNames         []string
	ReportFields      []string      // what a load report holds, in this order
	LoadReports       bool          // servers report with their answers
	WorkHints         bool          // callers give hints of what their requests cost
	ConnectTimeout    time.Duration // 0: not told
	ServerIdleTimeout time.Duration // a server closes an idle connection by then; 0: not told
	MaxInFlight       int           // RPCs held at once; 0: not told
}

type object struct {
	Classes []struct {
		Name       string  `json:"Name"`
		AimMs      float64 `json:"AimMs"`
		DeadlineMs float64 `json:"DeadlineMs"`
		LateWorth  float64 `json:"LateWorth"`
		WindowMs   float64 `json:"WindowMs"`
		Credit     float64 `json:"Credit"`
		Repeat     string  `json:"Repeat"`
		DedupScope string  `json:"DedupScope"`
	} `json:"Classes"`
	RegistryMode string `json:"RegistryMode"`
	Limits       struct {
		MaxAttempts      *int    `json:"MaxAttempts"`
		MaxOpen          int     `json:"MaxOpen"`
		MaxRetryAfterMs  float64 `json:"MaxRetryAfterMs"`
		ConnectTimeoutMs float64 `json:"ConnectTimeoutMs"`
		ConnIdleMs       float64 `json:"ConnIdleMs"`
		MayCancel        bool    `json:"MayCancel"`
		RetryAfter       bool    `json:"RetryAfter"`
		SecondCopies     bool    `json:"SecondCopies"`
	} `json:"Limits"`
	Deductions struct {
		CrossZone float64 `json:"CrossZone"`
	} `json:"Deductions"`
	Report struct {
		How    string   `json:"How"`
		Fields []string `json:"Fields"`
	} `json:"Report"`
	Rules struct {
		ColdFrom     float64 `json:"ColdFrom"`
		ColdMs       float64 `json:"ColdMs"`
		FallMultiple float64 `json:"FallMultiple"`
		FallMs       float64 `json:"FallMs"`
		MustAskInMs  float64 `json:"MustAskInMs"`
	} `json:"Rules"`
	Tenants []struct {
		Name      string  `json:"Name"`
		QuotaPerS float64 `json:"QuotaPerS"`
	} `json:"Tenants"`
	Zones          []string `json:"Zones"`
	Instances      int      `json:"Instances"`
	Hints          bool     `json:"Hints"`
	MyZone         int      `json:"MyZone"`
	Stage          int      `json:"Stage"`
	OverShareWorth float64  `json:"OverShareWorth"`
}

var repeats = map[string]decide.Idempotency{
	"repeatable": decide.Idempotent, "by_key": decide.Deduplicated, "once": decide.NonIdempotent}

var scopes = map[string]decide.DedupScope{
	"": decide.ScopeAll, "all": decide.ScopeAll, "zone": decide.ScopeZone, "cell": decide.ScopeCell}

// Parse reads the object and names the first setting that can't be worked with.
func Parse(text []byte) (*Instance, error) {
	o := &object{}
	if err := json.Unmarshal(text, o); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := o.check(); err != nil {
		return nil, err
	}
	return o.node(), nil
}

func (o *object) check() error {
	if len(o.Classes) == 0 {
		return errors.New("setting Classes is missing or empty")
	}
	for i, k := range o.Classes {
		_, known := repeats[k.Repeat]
		_, scoped := scopes[k.DedupScope]
		switch {
		case !(k.DeadlineMs > 0):
			return fmt.Errorf("setting Classes[%d].DeadlineMs must be above 0", i)
		case !(k.AimMs > 0):
			return fmt.Errorf("setting Classes[%d].AimMs must be above 0", i)
		case k.Credit < 0:
			return fmt.Errorf("setting Classes[%d].Credit must not be negative", i)
		case !known:
			return fmt.Errorf("setting Classes[%d].Repeat is %q", i, k.Repeat)
		case !scoped:
			return fmt.Errorf("setting Classes[%d].DedupScope is %q", i, k.DedupScope)
		case k.Repeat == "by_key" && !(k.WindowMs > 0):
			return fmt.Errorf("setting Classes[%d].WindowMs must be above 0", i)
		}
	}
	how := o.Report.How
	switch {
	case how != "" && how != "silent" && how != "piggyback" && how != "pull":
		return fmt.Errorf("setting Report.How is %q", how)
	case len(o.Report.Fields) > 4:
		return errors.New("setting Report.Fields has more than four names")
	case how == "piggyback" && len(o.Report.Fields) == 0:
		return errors.New("setting Report.Fields is empty though Report.How is piggyback")
	case o.Instances > MaxInstances:
		return &InstancesError{Instances: o.Instances}
	case o.Instances < 0:
		return errors.New("setting Instances must not be negative")
	case o.Limits.MaxAttempts != nil && *o.Limits.MaxAttempts < 1:
		return errors.New("setting Limits.MaxAttempts must be above 0")
	case o.Limits.MaxRetryAfterMs < 0:
		return errors.New("setting Limits.MaxRetryAfterMs must not be negative")
	case o.Limits.ConnectTimeoutMs < 0 || o.Limits.ConnIdleMs < 0 || o.Limits.MaxOpen < 0:
		return errors.New("settings Limits.ConnectTimeoutMs, ConnIdleMs and MaxOpen must not be negative")
	case o.Rules.FallMultiple < 0 || o.Rules.FallMs < 0 || o.Rules.MustAskInMs < 0:
		return errors.New("settings Rules.FallMultiple, Rules.FallMs and Rules.MustAskInMs must not be negative")
	case o.Rules.ColdMs < 0 || o.Rules.ColdFrom < 0 || o.Rules.ColdFrom > 1:
		return errors.New("settings Rules.ColdMs and Rules.ColdFrom are out of range")
	case o.RegistryMode != "automatic" && o.RegistryMode != "subscribe":
		return fmt.Errorf("setting RegistryMode is %q", o.RegistryMode)
	}
	return nil
}

func (o *object) node() *Instance {
	picks := 1
	if o.Limits.MaxAttempts != nil {
		picks = *o.Limits.MaxAttempts
	}
	n := &Instance{
		Settings: decide.Settings{
			Zone: o.MyZone, Stage: o.Stage, Instances: max(1, o.Instances), MaxAttempts: picks,
			MayCancel: o.Limits.MayCancel, Hedging: o.Limits.SecondCopies,
			MaxRetryAfter:   o.retryAfter(),
			OverQuotaWeight: o.OverShareWorth, CrossZoneCost: o.Deductions.CrossZone,
			MustSubscribe: o.RegistryMode == "subscribe", MaxPollInterval: o.Rules.MustAskInMs / 1000,
			SlowStartFraction: o.Rules.ColdFrom, SlowStartDuration: o.Rules.ColdMs / 1000,
			OverloadMultiple: o.Rules.FallMultiple, OverloadWindow: o.Rules.FallMs / 1000,
		},
		ZoneNames: o.Zones, ReportFields: o.Report.Fields, LoadReports: o.Report.How == "piggyback", WorkHints: o.Hints, MaxInFlight: o.Limits.MaxOpen,
		ConnectTimeout: Milliseconds(o.Limits.ConnectTimeoutMs), ServerIdleTimeout: Milliseconds(o.Limits.ConnIdleMs),
	}
	for _, k := range o.Classes {
		n.MethodNames = append(n.MethodNames, k.Name)
		n.Methods = append(n.Methods, decide.Method{
			LatencyObjective: min(k.AimMs, k.DeadlineMs) / 1000, Deadline: k.DeadlineMs / 1000,
			PriorityWeight: k.Credit, LateWeight: k.LateWorth, Idempotency: repeats[k.Repeat],
			DedupScope: scopes[k.DedupScope], DedupWindow: k.WindowMs / 1000})
	}
	for _, t := range o.Tenants {
		n.TenantNames = append(n.TenantNames, t.Name)
		n.Tenants = append(n.Tenants, decide.Tenant{Quota: t.QuotaPerS})
	}
	return n
}

// ParseLoadReport reads a server's report: its values, separated by commas, in the order of ReportFields.
func (n *Instance) ParseLoadReport(report string) (*decide.LoadReport, error) {
	parts := strings.Split(report, ",")
	if len(report) > 256 || len(parts) != len(n.ReportFields) {
		return nil, fmt.Errorf("load report %.60q has %d values, not %d", report, len(parts), len(n.ReportFields))
	}
	l := &decide.LoadReport{InFlight: -1}
	for i, part := range parts {
		if part = strings.TrimSpace(part); part == "-" {
			continue
		}
		x, err := strconv.ParseFloat(part, 64)
		if err != nil || !(math.Abs(x) <= 1e9) {
			return nil, fmt.Errorf("load value %.60q is not a number", part)
		}
		if n.ReportFields[i] == "concurrent" {
			l.InFlight = max(0, x) // noise may take it below
		}
	}
	return l, nil
}

// retryAfter is the longest time that clients may be told to wait, in seconds.
func (o *object) retryAfter() float64 {
	if !o.Limits.RetryAfter {
		return 0
	}
	return o.Limits.MaxRetryAfterMs / 1000
}

// Milliseconds turns milliseconds of the settings into a Duration, a day at most: what is longer means never.
func Milliseconds(ms float64) time.Duration {
	return time.Duration(min(ms, 86_400_000) * float64(time.Millisecond))
}
