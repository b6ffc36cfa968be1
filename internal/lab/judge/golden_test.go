package judge

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/labtest"
	"robincart/internal/testutil/golden"
)

// The golden files were written by the text at 0cdd5b2; a run's result.json holds these forms and names. They must
// never be written anew to follow a rename.

// verdictForms holds the parts of a verdict that a result contains as they are.
type verdictForms struct {
	Breach Violation `json:"breach"`
	Part   Tally     `json:"part"`
}

func TestVerdict_Golden(t *testing.T) {
	want := verdictForms{
		Breach: Violation{Count: 101, Examples: []string{"case 102", "case 103"}},
		Part:   Tally{Name: "part-201", Calls: 202, InTime: 203, OK: 204, OfferedUtility: 205.5, EarnedUtility: 206.25},
	}
	labtest.RequireEveryFieldSet(t, "json", want)
	var read verdictForms
	require.NoError(t, json.Unmarshal(golden.Read(t, "verdict.json"), &read))
	assert.Equal(t, want, read)
	written, err := json.MarshalIndent(read, "", " ")
	require.NoError(t, err)
	golden.Check(t, "verdict.json", written)
}

func TestVerdict_ExplicitNames(t *testing.T) { labtest.RequireExplicitNames(t, "json", verdictForms{}) }

// Results have rules and outcomes by these names.
func TestVerdict_GoldenNames(t *testing.T) {
	var lines []string
	for _, rule := range RuleNames {
		lines = append(lines, "rule: "+rule)
	}
	for outcome := OK; int(outcome) < len(outcomeNames); outcome++ {
		lines = append(lines, "end: "+outcome.String())
	}
	golden.Check(t, "names.txt", []byte(strings.Join(lines, "\n")+"\n"))
}
