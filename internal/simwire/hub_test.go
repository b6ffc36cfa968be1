package simwire

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// testSettings are the encoded settings of an instance.
const testSettings = `{"Classes":[{"AimMs":2500,"DeadlineMs":6000,"Credit":1,"Repeat":"repeatable"}],"Instances":1,` +
	`"RegistryMode":"automatic","Limits":{"MaxAttempts":3,"SecondCopies":true,"MayCancel":true},"Novelty":{"x":1},` +
	`"Report":{"Fields":["depth"]}}`

// testRequest is the id of a request.
const testRequest = "5d3a91c4-216f-49d7-a3dc-5fcaa1866f2f"

// run runs a hub with the input lines and returns its output.
func run(lines ...string) (string, error) {
	var out bytes.Buffer
	err := NewHub(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out).Run()
	return out.String(), err
}

// withInstance returns the lines that start instance 3 with one server, followed by the given lines.
func withInstance(lines ...string) []string {
	return append([]string{"SYNC 1000.5", "BEGIN 3 42 " + testSettings, "SNAPSHOT_ROWS 0 1",
		"M 10.0.0.1:7000 0 0 0 active 1 -", "TARGETS 3 SAVED 1 0"}, lines...)
}

// arrival returns the line of an arriving request with a deadline in milliseconds.
func arrival(deadline int) string {
	return fmt.Sprintf("INCOMING 3 %s %d 0 - 0 0 -", testRequest, deadline)
}

func TestHub_OneRequest(t *testing.T) {
	out, err := run(withInstance("YOUR_TURN", "SYNC 1005", arrival(5000), "YOUR_TURN", "SYNC 1100",
		"RESPONSE 3 "+testRequest+" 0 Ok 10.0.0.1:7000 1 95 2", "VANISHED 3 "+testRequest, "YOUR_TURN")...)
	assert.NoError(t, err)
	assert.Contains(t, out, "ROUTE 3 "+testRequest+" 10.0.0.1:7000 ")
	assert.Equal(t, 3, strings.Count(out, "NEXT\n"))
	assert.NotContains(t, out, "DENY")
}

func TestHub_ListNumberReused(t *testing.T) {
	out, err := run(withInstance("SNAPSHOT_ROWS 0 1", "M 10.0.0.2:7000 0 0 0 active 1 -", "TARGETS 3 FULL 2 0",
		arrival(5000), "YOUR_TURN")...)
	assert.NoError(t, err)
	assert.Contains(t, out, "10.0.0.2:7000")
}

// A malformed line ends Run with an error that names the fault.
func TestHub_MalformedLines(t *testing.T) {
	for line, message := range map[string]string{
		"INCOMING 3 " + testRequest + " soon 0 - 0 0 -": "not a finite number",
		"INCOMING 3 " + testRequest + " 5000 0 - 7 0 -": "class 7",
		"INCOMING 9 " + testRequest + " 5000 0 - 0 0 -": "instance 9",
		"HELLO 3":                             "unknown event",
		"TARGETS 3 FULL 1 5":                  "list 5",
		"RING 3 77":                           "timer 77",
		"VANISHED 3 " + testRequest + " more": "too many",
		`BEGIN 4 1 {"Classes":[]}`:            "Classes",
		"RESPONSE 3 " + testRequest + " 0 Well 10.0.0.1 1 2": "Well",
	} {
		t.Run(message, func(t *testing.T) {
			_, err := run(withInstance(line)...)
			assert.ErrorContains(t, err, message, line)
		})
	}
}

func TestHub_UnknownRequest(t *testing.T) {
	_, err := run(withInstance("RESPONSE 3 "+testRequest+" 0 Ok 10.0.0.1:7000 1 95 2", "VANISHED 3 "+testRequest,
		"YOUR_TURN")...)
	assert.NoError(t, err)
}

// With few settings and no ready server, a request gets a pushback: missing settings do not cause a panic or a division
// by zero.
func TestHub_MissingSettings(t *testing.T) {
	minimalSettings := `{"Classes":[{"AimMs":2500,"DeadlineMs":6000,"Repeat":"once"}],"RegistryMode":"automatic"}`
	for name, list := range map[string][]string{
		"no server":   {"SNAPSHOT_ROWS 0 0"},
		"gone server": {"SNAPSHOT_ROWS 0 1", "M 10.0.0.1:7000 0 0 0 left 0 -"},
		"server listed twice": {"SNAPSHOT_ROWS 0 2", "M 10.0.0.1:7000 0 0 0 active - 900",
			"M 10.0.0.1:7000 0 0 0 left 0 -"},
	} {
		t.Run(name, func(t *testing.T) {
			lines := append([]string{"SYNC 1000.5", "BEGIN 3 42 " + minimalSettings}, list...)
			out, err := run(append(lines, "TARGETS 3 SAVED 1 0", arrival(5000), "YOUR_TURN")...)
			assert.NoError(t, err)
			assert.Contains(t, out, "DENY 3 "+testRequest, "no attempt has run, so the request is pushed back at once")
		})
	}
}

func TestHub_SettingsOutOfRange(t *testing.T) {
	for setting, message := range map[string]string{
		`"Instances":-1`:              "Instances",
		`"Rules":{"FallMs":-5}`:       "FallMs",
		`"Limits":{"MaxAttempts":-2}`: "MaxAttempts",
		`"Rules":{"ColdFrom":1.5}`:    "ColdFrom",
		`"RegistryMode":"carrier"`:    "RegistryMode",
		`"Instances":"many"`:          "Instances",
	} {
		t.Run(setting, func(t *testing.T) {
			encoded := `{"Classes":[{"AimMs":1,"DeadlineMs":2,"Repeat":"once"}],"RegistryMode":"automatic",` + setting + `}`
			_, err := run("SYNC 1", "BEGIN 3 42 "+encoded)
			assert.ErrorContains(t, err, message)
		})
	}
}

// Server lists may be repeated, and may become shorter. After the watch has failed, the instance watches the list
// again.
func TestHub_ServerLists(t *testing.T) {
	subscribeSettings := strings.Replace(testSettings, `"automatic"`, `"subscribe"`, 1)
	lines := []string{"SYNC 1000", "BEGIN 3 42 " + subscribeSettings, "SNAPSHOT_ROWS 0 300"}
	for i := range 300 {
		lines = append(lines, fmt.Sprintf("M 10.0.%d.%d:7000 0 0 0 active 1 -", i/200, i%200))
	}
	out, err := run(append(lines, "TARGETS 3 SAVED 1 0", "TARGETS 3 SAVED 1 0", "YOUR_TURN", "SYNC 2000", "RING 3 1",
		"YOUR_TURN", "SYNC 3000", "TARGETS 3 FAILED 1 9", "YOUR_TURN", "SYNC 4000", "RING 3 2", "SNAPSHOT_ROWS 0 1",
		"M 10.0.0.7:7000 0 0 0 active 1 -", "TARGETS 3 FULL 2 0", arrival(9000), "YOUR_TURN")...)
	assert.NoError(t, err)
	assert.Equal(t, 2, strings.Count(out, "WATCH 3 1"))
	assert.Contains(t, out, "ROUTE 3 "+testRequest+" 10.0.0.7:7000 ", "the other servers are no longer listed")
}
