package settings

import (
	"fmt"

	"robincart/decide"
)

// document is the JSON object. Its keys are a form that other programs write.
type document struct {
	Classes      []class `json:"Classes"`
	RegistryMode string  `json:"RegistryMode"`
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

// class is a method.
type class struct {
	Name       string  `json:"Name"`
	AimMs      float64 `json:"AimMs"`
	DeadlineMs float64 `json:"DeadlineMs"`
	LateWorth  float64 `json:"LateWorth"`
	WindowMs   float64 `json:"WindowMs"`
	Credit     float64 `json:"Credit"`
	Repeat     string  `json:"Repeat"`
	DedupScope string  `json:"DedupScope"`
}

const (
	// Values of Classes[].Repeat.
	repeatIdempotent    = "repeatable"
	repeatDeduplicated  = "by_key"
	repeatNonIdempotent = "once"

	// Values of Report.How.
	reportUnset       = ""
	reportSilent      = "silent"
	reportInResponses = "piggyback"
	reportPull        = "pull"

	// Values of RegistryMode.
	registryAutomatic = "automatic"
	registrySubscribe = "subscribe"

	maxReportFields = 4
)

var idempotencies = map[string]decide.Idempotency{
	repeatIdempotent:    decide.Idempotent,
	repeatDeduplicated:  decide.Deduplicated,
	repeatNonIdempotent: decide.NonIdempotent,
}

// dedupScopes has a value for a missing scope, too: only classes that are deduplicated by key need one.
var dedupScopes = map[string]decide.DedupScope{
	"":     decide.ScopeAll,
	"all":  decide.ScopeAll,
	"zone": decide.ScopeZone,
	"cell": decide.ScopeCell,
}

// validate returns the first setting that can't be used.
func (d *document) validate() error {
	for _, check := range []func() error{
		d.validateClasses,
		d.validateReport,
		d.validateInstances,
		d.validateLimits,
		d.validateRules,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	if d.RegistryMode != registryAutomatic && d.RegistryMode != registrySubscribe {
		return &SettingError{"RegistryMode", fmt.Sprintf("is %q", d.RegistryMode)}
	}
	return nil
}

func (d *document) validateClasses() error {
	if len(d.Classes) == 0 {
		return &SettingError{"Classes", "is missing or empty"}
	}
	for i, c := range d.Classes {
		if key, problem := c.problem(); problem != "" {
			return &SettingError{fmt.Sprintf("Classes[%d].%s", i, key), problem}
		}
	}
	return nil
}

// problem is the first key that can't be used, and why; empty if there is none.
func (c *class) problem() (key, problem string) {
	_, knownRepeat := idempotencies[c.Repeat]
	_, knownScope := dedupScopes[c.DedupScope]
	switch {
	case !(c.DeadlineMs > 0):
		return "DeadlineMs", "must be above 0"
	case !(c.AimMs > 0):
		return "AimMs", "must be above 0"
	case c.Credit < 0:
		return "Credit", "must not be negative"
	case !knownRepeat:
		return "Repeat", fmt.Sprintf("is %q", c.Repeat)
	case !knownScope:
		return "DedupScope", fmt.Sprintf("is %q", c.DedupScope)
	case c.Repeat == repeatDeduplicated && c.DedupScope == "":
		return "DedupScope", "is missing, expected all, zone or cell for a class that is " + repeatDeduplicated
	case c.Repeat == repeatDeduplicated && !(c.WindowMs > 0):
		return "WindowMs", "must be above 0"
	}
	return "", ""
}

func (d *document) validateReport() error {
	how := d.Report.How
	switch how {
	case reportUnset, reportSilent, reportInResponses, reportPull:
	default:
		return &SettingError{"Report.How", fmt.Sprintf("is %q", how)}
	}
	if len(d.Report.Fields) > maxReportFields {
		return &SettingError{"Report.Fields", "has more than four names"}
	}
	if how == reportInResponses && len(d.Report.Fields) == 0 {
		return &SettingError{"Report.Fields", "is empty though Report.How is " + reportInResponses}
	}
	return nil
}

func (d *document) validateInstances() error {
	if d.Instances > MaxInstances {
		return &InstancesError{Instances: d.Instances}
	}
	return notNegative("Instances", float64(d.Instances))
}

func (d *document) validateLimits() error {
	if d.Limits.MaxAttempts != nil && *d.Limits.MaxAttempts < 1 {
		return &SettingError{"Limits.MaxAttempts", "must be above 0"}
	}
	return firstError(
		notNegative("Limits.MaxRetryAfterMs", d.Limits.MaxRetryAfterMs),
		notNegative("Limits.ConnectTimeoutMs", d.Limits.ConnectTimeoutMs),
		notNegative("Limits.ConnIdleMs", d.Limits.ConnIdleMs),
		notNegative("Limits.MaxOpen", float64(d.Limits.MaxOpen)),
	)
}

func (d *document) validateRules() error {
	if err := firstError(
		notNegative("Rules.FallMultiple", d.Rules.FallMultiple),
		notNegative("Rules.FallMs", d.Rules.FallMs),
		notNegative("Rules.MustAskInMs", d.Rules.MustAskInMs),
		notNegative("Rules.ColdMs", d.Rules.ColdMs),
	); err != nil {
		return err
	}
	if d.Rules.ColdFrom < 0 || d.Rules.ColdFrom > 1 {
		return &SettingError{"Rules.ColdFrom", "must be between 0 and 1"}
	}
	return nil
}

func notNegative(setting string, value float64) error {
	if value < 0 {
		return &SettingError{setting, "must not be negative"}
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// instance converts a valid document. Times are in seconds from here on.
func (d *document) instance() *Instance {
	i := &Instance{
		Settings:          d.decisions(),
		ZoneNames:         d.Zones,
		ReportFields:      d.Report.Fields,
		LoadReports:       d.Report.How == reportInResponses,
		WorkHints:         d.Hints,
		MaxInFlight:       d.Limits.MaxOpen,
		ConnectTimeout:    Milliseconds(d.Limits.ConnectTimeoutMs),
		ServerIdleTimeout: Milliseconds(d.Limits.ConnIdleMs),
	}
	for _, c := range d.Classes {
		i.MethodNames = append(i.MethodNames, c.Name)
		i.Methods = append(i.Methods, c.method())
	}
	for _, t := range d.Tenants {
		i.TenantNames = append(i.TenantNames, t.Name)
		i.Tenants = append(i.Tenants, decide.Tenant{Quota: t.QuotaPerS})
	}
	return i
}

// decisions are the settings of package decide, without methods and tenants.
func (d *document) decisions() decide.Settings {
	s := decide.Settings{
		Zone:              d.MyZone,
		Stage:             d.Stage,
		Instances:         max(1, d.Instances),
		MaxAttempts:       1,
		MayCancel:         d.Limits.MayCancel,
		Hedging:           d.Limits.SecondCopies,
		OverQuotaWeight:   d.OverShareWorth,
		CrossZoneCost:     d.Deductions.CrossZone,
		MustSubscribe:     d.RegistryMode == registrySubscribe,
		MaxPollInterval:   seconds(d.Rules.MustAskInMs),
		SlowStartFraction: d.Rules.ColdFrom,
		SlowStartDuration: seconds(d.Rules.ColdMs),
		OverloadMultiple:  d.Rules.FallMultiple,
		OverloadWindow:    seconds(d.Rules.FallMs),
	}
	if d.Limits.MaxAttempts != nil {
		s.MaxAttempts = *d.Limits.MaxAttempts
	}
	if d.Limits.RetryAfter {
		s.MaxRetryAfter = seconds(d.Limits.MaxRetryAfterMs)
	}
	return s
}

func (c *class) method() decide.Method {
	return decide.Method{
		LatencyObjective: seconds(min(c.AimMs, c.DeadlineMs)),
		Deadline:         seconds(c.DeadlineMs),
		PriorityWeight:   c.Credit,
		LateWeight:       c.LateWorth,
		Idempotency:      idempotencies[c.Repeat],
		DedupScope:       dedupScopes[c.DedupScope],
		DedupWindow:      seconds(c.WindowMs),
	}
}

func seconds(ms float64) float64 { return ms / 1000 }
