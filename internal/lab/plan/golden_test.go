package plan

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"robincart/internal/testutil/golden"

	"github.com/stretchr/testify/require"
)

// The golden file is the plan that the text at 0cdd5b2 made from this seed. It must never be written anew to follow a
// rename: a saved seed plays what it has always played. The names that NewSource is given are part of that.
func TestGenerate_GoldenSchedule(t *testing.T) {
	goldenMix := Mix{
		Methods: []MethodMix{
			{Share: 2, Work: Distribution{Kind: "lognormal", Mean: 10, CV: 0.5}, Wait: Distribution{Kind: "exponential", Mean: 3}},
			{Share: 1, Work: Distribution{Kind: "fixed", Mean: 4}, Body: 9},
		},
		Tenants: []float64{1, 3}, Keys: 100, Skew: 1.2,
	}
	loads := []Load{
		{Shape: Shape{Kind: "ramp", Rate: 10, To: 30}, Method: -1, Tenant: -1},
		{Shape: Shape{Kind: "spike", To: 20, At: 200 * time.Millisecond, For: 500 * time.Millisecond}, Even: true,
			Method: 1},
	}
	arrivals, err := Generate(11, time.Second, loads, goldenMix)
	require.NoError(t, err)
	var text bytes.Buffer
	fmt.Fprintln(&text, "at method tenant key body work wait")
	for _, a := range arrivals {
		fmt.Fprintf(&text, "%v %d %d %d %d %.4f %.4f\n", a.At.Round(time.Microsecond), a.Method, a.Tenant, a.Key,
			a.Body, a.Work, a.Wait)
	}
	golden.Check(t, "schedule.txt", text.Bytes())
}
