package plan

import (
	"math"
	"math/rand"
)

// defaultKeys is how many different keys are asked for if a mix does not say.
const defaultKeys = 1_000_000

// Distribution is a distribution of amounts with a mean: "fixed", "exponential", or "lognormal" with a coefficient of
// variation.
type Distribution struct {
	Kind string
	Mean float64
	CV   float64
}

// Draw draws an amount.
func (d Distribution) Draw(r *rand.Rand) float64 {
	switch d.Kind {
	case "exponential":
		return d.Mean * r.ExpFloat64()
	case "lognormal":
		variance := math.Log(1 + d.CV*d.CV)
		return d.Mean * math.Exp(r.NormFloat64()*math.Sqrt(variance)-variance/2)
	}
	return d.Mean
}

// MethodMix is one method of a mix.
type MethodMix struct {
	Share float64
	Work  Distribution
	Wait  Distribution
	Body  int
}

// Mix says how the requests are distributed over methods, tenants and keys.
type Mix struct {
	Methods []MethodMix
	Tenants []float64 // shares
	Keys    int       // number of different keys; 0: a million
	Skew    float64   // above 1: the exponent of the keys' Zipf distribution
}

// drawer returns a function that draws requests, without their times, for loads.
func (m Mix) drawer(r *rand.Rand) func(Load) Arrival {
	drawKey := m.keyDrawer(r)
	shares := make([]float64, len(m.Methods))
	for i, kind := range m.Methods {
		shares[i] = kind.Share
	}
	return func(l Load) Arrival {
		method, tenant := l.Method, l.Tenant
		if method < 0 {
			method = choose(r, shares)
		}
		if tenant < 0 {
			tenant = choose(r, m.Tenants)
		}
		kind := m.Methods[method]
		return Arrival{
			Method: uint16(method),
			Tenant: uint16(tenant),
			Key:    uint32(drawKey()),
			Body:   uint32(kind.Body),
			Work:   float32(kind.Work.Draw(r)),
			Wait:   float32(kind.Wait.Draw(r)),
		}
	}
}

// keyDrawer returns a function that draws keys.
func (m Mix) keyDrawer(r *rand.Rand) func() uint64 {
	keys := m.Keys
	if keys == 0 {
		keys = defaultKeys
	}
	if m.Skew > 1 {
		return rand.NewZipf(r, m.Skew, 1, uint64(keys-1)).Uint64
	}
	return func() uint64 { return uint64(r.Intn(keys)) }
}

// choose draws an index by shares.
func choose(r *rand.Rand, shares []float64) int {
	sum := 0.0
	for _, share := range shares {
		sum += share
	}
	x := r.Float64() * sum
	for i, share := range shares {
		x -= share
		if x < 0 {
			return i
		}
	}
	return max(0, len(shares)-1)
}
