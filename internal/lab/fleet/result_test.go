package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Each bound that is not met is named, and what was not measured as well.
func TestResult_Judge(t *testing.T) {
	one, three := 1.0, 3.0
	result := &Result{
		Steps: []StepResult{
			{Name: "start"},
			{Name: "rest", Roles: []RoleUsage{{Name: roleHollow, Bytes: 4}}},
			{
				Name: "pace",
				Updates: Propagation{
					Changes: 2,
					P50:     500 * time.Millisecond,
					Max:     2 * time.Second,
					Missed:  2,
				},
			},
		},
		CameBack: []string{"a", "b"},
	}
	result.judge(map[string]Bound{
		"rest.node_bytes":    {Max: &three},
		"rest.change_most_s": {Max: &one},
		"pace.not_told":      {Max: &one},
		"pace.change_most_s": {Max: &three},
		"pace.changes":       {Min: &three},
		"all.came_back":      {Max: &one},
		"all.change_p50_s":   {Max: &one},
	})
	assert.Equal(t, []string{
		"pace.came_back is 2, 1 at most was expected",
		"pace.changes is 2, 3 at least was expected",
		"pace.not_told is 2, 1 at most was expected",
		"rest.came_back is 2, 1 at most was expected",
		"rest.change_most_s: it was not measured",
		"rest.node_bytes is 4, 3 at most was expected",
	}, result.Unmet)
	assert.False(t, result.Passed())
	assert.True(t, (&Result{}).Passed())
	assert.False(t, (&Result{Errors: []string{"x"}}).Passed())
}
