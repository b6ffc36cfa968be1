package labtest

import (
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

type inner struct {
	Named   int `json:"named"`
	Unnamed int
}

type outer struct {
	inner
	At      time.Time        `json:"at"`
	List    []inner          `json:"list"`
	ByName  map[string]inner `json:"by_name,omitempty"`
	Nothing string           `json:",omitempty"`
	Left    int              `json:"-"`
	private int
}

func TestUnsetFields_FindsZeroValuesAtAnyDepth(t *testing.T) {
	value := outer{At: time.Unix(1, 0), List: []inner{{1, 2}, {Named: 3}},
		ByName: map[string]inner{"a": {Unnamed: 4}}, private: 1}
	assert.Equal(t, []string{"outer.List[1].Unnamed", "outer.ByName[a].Named", "outer.Nothing"},
		unsetFields("json", "outer", reflect.ValueOf(value)))
	assert.Equal(t, []string{"outer"}, unsetFields("json", "outer", reflect.ValueOf(outer{})))
}

func TestUnnamedFields_FindsTagsWithoutAName(t *testing.T) {
	assert.Equal(t, []string{"labtest.inner.Unnamed", "labtest.outer.Nothing"},
		unnamedFields("json", reflect.TypeFor[*outer](), map[reflect.Type]bool{}))
}
