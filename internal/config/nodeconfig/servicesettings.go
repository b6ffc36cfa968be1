package nodeconfig

import (
	"encoding/json"
	"fmt"
	"slices"

	"robincart/internal/protocol/settings"
)

// A service is compiled to a settings object in the platform's format. The same parser reads this object and the
// settings objects that come from the platform. These types define the settings object. Their fields are in
// alphabetical order, because fingerprints contain the fields in that order.
type (
	settingsObject struct {
		Classes      []settingsClass  `json:"Classes"`
		Instances    int              `json:"Instances"`
		Limits       settingsLimits   `json:"Limits"`
		MyZone       int              `json:"MyZone"`
		RegistryMode string           `json:"RegistryMode"`
		Rules        settingsRules    `json:"Rules"`
		Stage        int              `json:"Stage"`
		Tenants      []settingsTenant `json:"Tenants"`
		Zones        []string         `json:"Zones"`
	}
	settingsClass struct {
		AimMs      float64 `json:"AimMs"`
		Credit     float64 `json:"Credit"`
		DeadlineMs float64 `json:"DeadlineMs"`
		DedupScope string  `json:"DedupScope"`
		LateWorth  float64 `json:"LateWorth"`
		Name       string  `json:"Name"`
		Repeat     string  `json:"Repeat"`
		WindowMs   float64 `json:"WindowMs"`
	}
	settingsLimits struct {
		ConnIdleMs       float64 `json:"ConnIdleMs"`
		ConnectTimeoutMs float64 `json:"ConnectTimeoutMs"`
		MaxAttempts      int     `json:"MaxAttempts"`
		MaxRetryAfterMs  float64 `json:"MaxRetryAfterMs"`
		MayCancel        bool    `json:"MayCancel"`
		RetryAfter       bool    `json:"RetryAfter"`
		SecondCopies     bool    `json:"SecondCopies"`
	}
	settingsRules struct {
		ColdFrom     float64 `json:"ColdFrom"`
		ColdMs       float64 `json:"ColdMs"`
		FallMs       float64 `json:"FallMs"`
		FallMultiple float64 `json:"FallMultiple"`
		MustAskInMs  float64 `json:"MustAskInMs"`
	}
	settingsTenant struct {
		Name      string  `json:"Name"`
		QuotaPerS float64 `json:"QuotaPerS"`
	}
)

// repeatModes maps a method's idempotency to the value of Repeat in the settings object.
var repeatModes = map[string]string{
	idempotent:    "repeatable",
	deduplicated:  "by_key",
	nonIdempotent: "once",
}

// Values of RegistryMode: how the node follows the endpoint list.
const (
	registrySubscribe = "subscribe"
	registryAutomatic = "automatic"
)

// compileSettings returns a service's settings and its fingerprint. The fingerprints of two services differ if the
// services differ in a setting that a running core can't change.
func (s *Service) compileSettings() (compiled *settings.Instance, fingerprint string, err error) {
	text, err := json.Marshal(s.settingsObject())
	if err != nil {
		return nil, "", err
	}
	compiled, err = settings.Parse(text)
	if err != nil {
		return nil, "", err
	}
	return compiled, fmt.Sprintf("%s %s %q", text, s.Protocol, s.Params), nil // fmt prints maps in key order
}

func (s *Service) settingsObject() settingsObject {
	object := settingsObject{
		Instances: s.Nodes,
		Limits: settingsLimits{
			ConnIdleMs:       s.IdleTimeout.Milliseconds(),
			ConnectTimeoutMs: s.ConnectTimeout.Milliseconds(),
			MaxAttempts:      s.MaxAttempts,
			MaxRetryAfterMs:  s.MaxRetryAfter.Milliseconds(),
			MayCancel:        !s.NoCancel,
			RetryAfter:       !s.NoRetryAfter,
			SecondCopies:     s.Hedging,
		},
		MyZone:       slices.Index(s.Zones, s.Zone),
		RegistryMode: registrySubscribe,
		Rules: settingsRules{
			ColdFrom:     s.SlowStartFraction,
			ColdMs:       s.SlowStartDuration.Milliseconds(),
			FallMs:       s.OverloadWindow.Milliseconds(),
			FallMultiple: s.OverloadMultiple,
			MustAskInMs:  s.MaxPollInterval.Milliseconds(),
		},
		Stage: s.Stage,
		Zones: s.Zones,
	}
	if s.Discovery == "" {
		object.RegistryMode = registryAutomatic
	}
	for _, method := range s.Methods {
		object.Classes = append(object.Classes, settingsClass{
			AimMs:      method.LatencyObjective.Milliseconds(),
			Credit:     *method.PriorityWeight,
			DeadlineMs: method.Deadline.Milliseconds(),
			DedupScope: method.DedupScope,
			LateWorth:  method.LateWeight,
			Name:       method.Name,
			Repeat:     repeatModes[method.Idempotency],
			WindowMs:   method.DedupWindow.Milliseconds(),
		})
	}
	for _, tenant := range s.Tenants {
		object.Tenants = append(object.Tenants, settingsTenant{Name: tenant.Name, QuotaPerS: tenant.Quota})
	}
	return object
}
