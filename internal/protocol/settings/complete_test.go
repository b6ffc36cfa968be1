package settings

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestCheckComplete(t *testing.T) {
	const inForce = `{"a":1,"known":{"x":1},"s":{"Classes":[` +
		`{"Name":"f","Repeat":"by_key","WindowMs":5,"Extra":1},{"Name":"g","Repeat":"by_key","WindowMs":5}],"Zones":["z"]}}`
	for replacement, want := range map[string]string{
		inForce: "",
		`{"a":2,"b":3,"known":{},"s":{"Classes":[{"Name":"g","Repeat":"once"}],"Zones":[]}}`:       "",
		`{"known":{},"s":{"Classes":[{"Name":"g","Repeat":"by_key","WindowMs":5}],"Zones":["z"]}}`: "a is missing",
		`{"a":2,"s":{"Classes":[],"Zones":["z"]}}`:                                                 "known is missing",
		`{"a":2,"known":1,"s":{"Classes":[{"Name":"g","Repeat":"by_key"}],"Zones":["z"]}}`:         "s.Classes[0].WindowMs is missing",
		`{"a":2,"known":1,"s":{"Classes":[{"Repeat":"once"}]}}`:                                    "s.Classes[0].Name is missing\ns.Zones is missing",
		`{"a":2,"known":1,"s":7}`:                            "s is no object any more",
		`{"a":2,"known":1,"s":{"Classes":{},"Zones":["z"]}}`: "s.Classes is no array any more",
	} {
		t.Run(replacement, func(t *testing.T) {
			err := CheckComplete(json.RawMessage(inForce), json.RawMessage(replacement), "known")
			if want == "" {
				assert.NoError(t, err)
				return
			}
			assert.EqualError(t, err, want)
			var incomplete *IncompleteError
			assert.ErrorAs(t, err, &incomplete)
		})
	}
	t.Run("half a document", func(t *testing.T) {
		require.Error(t, CheckComplete(json.RawMessage(inForce), json.RawMessage(inForce[:len(inForce)-1])))
	})
}
