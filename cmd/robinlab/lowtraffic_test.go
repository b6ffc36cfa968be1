package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// lowTrafficFleet is a calm day on which forty nodes see six calls a second each, of the many more that their servers
// could bear.
const lowTrafficFleet = `
name = "thin"
duration = "8s"
[fleet]
nodes = 40
sockets = 256
[[fleet.tier]]
servers = 24
cores = 2
speed = [0.6, 1.1]
[[method]]
name = "find-table"
share = 0.65
target = "400ms"
deadline = "2s"
work_ms = 30
spread = "lognormal"
cv = 0.5
[[method]]
name = "book-table"
share = 0.35
repeat = "deduplicated"
window = "10s"
target = "400ms"
deadline = "2s"
utility = 10
work_ms = 30
spread = "lognormal"
cv = 0.5
body = 200
[[load]]
rate = 240
`

// Nodes that each see little must not take a slow answer or two for a service that can't answer in time. Before
// estimates from few samples leaned to their method's mean, a tenth to a fifth of the calls were rejected here.
func TestAdmission_LowTrafficRejectsNobody(t *testing.T) {
	p := playText(t, lowTrafficFleet, stallPatience)
	t.Logf("%v, p99 %.0f ms", p.arm.Ends, p.arm.Metrics["p99_ms"])
	assert.Empty(t, p.arm.Broken)
	assert.LessOrEqual(t, p.arm.Ends["pushed back"], int(p.arm.Metrics["calls"])/25,
		"what a stalled machine makes slow may be rejected")
}
