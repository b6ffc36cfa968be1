package membership

import "fmt"

// Config sets delays and bounds. Durations are seconds.
type Config struct {
	// FlapDelay is how long a server that lost its readiness and has it again waits before it is ready. The delay
	// doubles with each loss, up to MaxFlapDelay.
	FlapDelay    float64
	MaxFlapDelay float64
	// MaxShrinkFraction is the fraction of a service's servers that may vanish from its slices at once and be believed.
	// What vanishes beyond that stays in the list for ShrinkHold, unless the pods are known to end.
	MaxShrinkFraction float64
	ShrinkHold        float64
	// ForgetAfter is how long a server that is gone is remembered, so that a late event can't bring it back.
	ForgetAfter float64
	// SlowStartDuration is how long a server is in slow start after its readiness gate was opened.
	SlowStartDuration float64
	// MaxSlowStartFraction is the fraction of a service's servers that may be in slow start at once.
	MaxSlowStartFraction float64
	// DrainCordoned drains the servers of cordoned nodes.
	DrainCordoned bool
}

// DefaultConfig returns the configuration that is used where nothing is set.
func DefaultConfig() Config {
	return Config{
		FlapDelay:            1,
		MaxFlapDelay:         30,
		MaxShrinkFraction:    0.5,
		ShrinkHold:           60,
		ForgetAfter:          600,
		SlowStartDuration:    20,
		MaxSlowStartFraction: 0.25,
	}
}

// Validate returns what is wrong with the configuration, by the keys of the operator's file.
func (c Config) Validate() error {
	switch {
	case c.FlapDelay < 0 || c.MaxFlapDelay < c.FlapDelay:
		return fmt.Errorf("flap %v and flap_most %v: both at least 0, the second not below the first",
			c.FlapDelay, c.MaxFlapDelay)
	case !isFraction(c.MaxShrinkFraction) || c.ShrinkHold <= 0:
		return fmt.Errorf("shrink_at %v must be above 0 and at most 1, shrink_for %v above 0",
			c.MaxShrinkFraction, c.ShrinkHold)
	case c.ForgetAfter < c.ShrinkHold:
		return fmt.Errorf("forget %v must not be below shrink_for %v", c.ForgetAfter, c.ShrinkHold)
	case !isFraction(c.MaxSlowStartFraction) || c.SlowStartDuration < 0:
		return fmt.Errorf("cold_most %v must be above 0 and at most 1, cold_for %v not below 0",
			c.MaxSlowStartFraction, c.SlowStartDuration)
	}
	return nil
}

// isFraction reports whether a value is above 0 and at most 1; NaN is not.
func isFraction(value float64) bool { return value > 0 && value <= 1 }
