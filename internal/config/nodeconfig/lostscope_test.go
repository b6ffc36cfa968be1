package nodeconfig

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against keyed requests that run in two zones because a changed file has lost a method's scope.
func TestCheckScopes_MethodKeepsItsScope(t *testing.T) {
	const lost = "service[2].method[1].scope: expected all, zone or cell for method book, whose scope in force is "
	for _, test := range []struct {
		name, inForce, next string
		want                string // empty: the change is valid
	}{
		{"zone lost", scopedService("a", "zone"), scopedService("a", ""), lost + "zone; found none"},
		{"cell lost", scopedService("a", "cell"), scopedService("a", ""), lost + "cell; found none"},
		{"widened", scopedService("a", "zone"), scopedService("a", "all"), ""},
		{"narrowed", scopedService("a", "zone"), scopedService("a", "cell"), ""},
		{"all left out", scopedService("a", "all"), scopedService("a", ""), ""},
		{"never given", scopedService("a", ""), scopedService("a", ""), ""},
		{"another service", scopedService("a", "zone"), scopedService("b", ""), ""},
		{"another method", scopedService("a", "zone"),
			strings.Replace(scopedService("a", ""), `"book"`, `"order"`, 1), ""},
		{"no longer deduplicated", scopedService("a", "zone"),
			strings.Replace(scopedService("a", ""), `"deduplicated"`, `"non-idempotent"`, 1), ""},
		{"scope given before it counts", strings.Replace(scopedService("a", "zone"), `"deduplicated"`, `"idempotent"`, 1),
			scopedService("a", ""), lost + "zone; found none"},
	} {
		t.Run(test.name, func(t *testing.T) {
			const top = "listen = [\"127.0.0.1:3000\"]\n[[route]]\nto = \"first\"\n"
			withFirst := top + strings.Replace(scopedService("first", "zone"), "3009", "3010", 1)
			next := parseFile(t, withFirst+test.next)
			err := next.CheckScopes(parseFile(t, withFirst+test.inForce))
			if test.want == "" {
				assert.NoError(t, err)
				return
			}
			assert.EqualError(t, err, test.want)
		})
	}
}
