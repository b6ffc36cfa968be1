package membership

import "fmt"

// Config sets the delays and limits of a State. Durations are in seconds.
type Config struct {
	// FlapDelay is the delay before a server that lost its readiness and regained it is listed as ready again. The
	// delay doubles with each loss, up to MaxFlapDelay.
	FlapDelay    float64
	MaxFlapDelay float64
	// MaxShrinkFraction is the largest fraction of a service's ready servers that may vanish from the service's
	// EndpointSlices within ShrinkHold and still be treated as gone. If more servers vanish, the vanished servers stay
	// in the list for ShrinkHold, except servers whose pods are known to be terminating.
	MaxShrinkFraction float64
	ShrinkHold        float64
	// ForgetAfter is how long the state of a server that is gone is kept, so that a late event can't make the server
	// ready again.
	ForgetAfter float64
	// SlowStartDuration is how long a server is in slow start after its readiness gate was opened.
	SlowStartDuration float64
	// MaxSlowStartFraction is the fraction of a service's servers that may be in slow start at once.
	MaxSlowStartFraction float64
	// DrainCordoned makes the servers on cordoned Kubernetes nodes drain.
	DrainCordoned bool
}

// DefaultConfig returns the default configuration.
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

// Validate returns an error for the first invalid value. It names values by their keys in the configuration file.
func (c Config) Validate() error {
	switch {
	case c.FlapDelay < 0 || c.MaxFlapDelay < c.FlapDelay:
		return fmt.Errorf("flap is %v s and flap_most is %v s: expected 0 <= flap <= flap_most",
			c.FlapDelay, c.MaxFlapDelay)
	case !isFraction(c.MaxShrinkFraction) || c.ShrinkHold <= 0:
		return fmt.Errorf("shrink_at is %v and shrink_for is %v s: expected 0 < shrink_at <= 1 and shrink_for > 0",
			c.MaxShrinkFraction, c.ShrinkHold)
	case c.ForgetAfter < c.ShrinkHold:
		return fmt.Errorf("forget is %v s: expected at least shrink_for, which is %v s", c.ForgetAfter, c.ShrinkHold)
	case !isFraction(c.MaxSlowStartFraction) || c.SlowStartDuration < 0:
		return fmt.Errorf("cold_most is %v and cold_for is %v s: expected 0 < cold_most <= 1 and cold_for >= 0",
			c.MaxSlowStartFraction, c.SlowStartDuration)
	}
	return nil
}

// isFraction reports whether a value is above 0 and at most 1. It returns false for NaN.
func isFraction(value float64) bool { return value > 0 && value <= 1 }
