package simwire

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

const setup = `{"Classes":[{"AimMs":2500,"DeadlineMs":6000,"Credit":1,"Repeat":"repeatable"}],"Instances":1,` +
	`"RegistryMode":"automatic","Limits":{"MaxAttempts":3,"SecondCopies":true,"MayCancel":true},"Novelty":{"x":1},` +
	`"Report":{"Fields":["depth"]}}`

const id = "5d3a91c4-216f-49d7-a3dc-5fcaa1866f2f"

func play(lines ...string) (string, error) {
	var out bytes.Buffer
	err := NewHub(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out).Run()
	return out.String(), err
}

func begun(lines ...string) []string {
	return append([]string{"SYNC 1000.5", "BEGIN 3 42 " + setup, "SNAPSHOT_ROWS 0 1",
		"M 10.0.0.1:7000 0 0 0 active 1 -", "TARGETS 3 SAVED 1 0"}, lines...)
}

func TestOneRequestFromArrivalToAnswer(t *testing.T) {
	out, err := play(begun("YOUR_TURN", "SYNC 1005", "INCOMING 3 "+id+" 5000 0 - 0 0 -", "YOUR_TURN", "SYNC 1100",
		"RESPONSE 3 "+id+" 0 Ok 10.0.0.1:7000 1 95 2", "VANISHED 3 "+id, "YOUR_TURN")...)
	assert.NoError(t, err)
	assert.Contains(t, out, "ROUTE 3 "+id+" 10.0.0.1:7000 ")
	assert.Equal(t, 3, strings.Count(out, "NEXT\n"))
	assert.NotContains(t, out, "DENY")
}

func TestListNumbersAreUsedAgain(t *testing.T) {
	out, err := play(begun("SNAPSHOT_ROWS 0 1", "M 10.0.0.2:7000 0 0 0 active 1 -", "TARGETS 3 FULL 2 0",
		"INCOMING 3 "+id+" 5000 0 - 0 0 -", "YOUR_TURN")...)
	assert.NoError(t, err)
	assert.Contains(t, out, "10.0.0.2:7000")
}

func TestBadInputIsNamedAndNeverGuessedAt(t *testing.T) {
	for line, says := range map[string]string{
		"INCOMING 3 " + id + " soon 0 - 0 0 -":      "not a number",
		"INCOMING 3 " + id + " 5000 0 - 7 0 -":      "class 7",
		"INCOMING 9 " + id + " 5000 0 - 0 0 -":      "instance 9",
		"HELLO 3":                                   "unknown event",
		"TARGETS 3 FULL 1 5":                        "list 5",
		"RING 3 77":                                 "timer 77",
		"VANISHED 3 " + id + " more":                "too many",
		`BEGIN 4 1 {"Classes":[]}`:                  "Classes",
		"RESPONSE 3 " + id + " 0 Well 10.0.0.1 1 2": "Well",
	} {
		_, err := play(begun(line)...)
		assert.ErrorContains(t, err, says, line)
	}
}

func TestOutcomeOfAnIdNoLongerHeldIsPassedOver(t *testing.T) {
	_, err := play(begun("RESPONSE 3 "+id+" 0 Ok 10.0.0.1:7000 1 95 2", "VANISHED 3 "+id, "YOUR_TURN")...)
	assert.NoError(t, err)
}

func TestMissingSettingsNeitherDivideByZeroNorCrash(t *testing.T) {
	bare := `{"Classes":[{"AimMs":2500,"DeadlineMs":6000,"Repeat":"once"}],"RegistryMode":"automatic"}`
	for _, rows := range [][]string{
		{"SNAPSHOT_ROWS 0 0"},
		{"SNAPSHOT_ROWS 0 1", "M 10.0.0.1:7000 0 0 0 left 0 -"},
		{"SNAPSHOT_ROWS 0 2", "M 10.0.0.1:7000 0 0 0 active - 900", "M 10.0.0.1:7000 0 0 0 left 0 -"},
	} {
		lines := append([]string{"SYNC 1000.5", "BEGIN 3 42 " + bare}, rows...)
		out, err := play(append(lines, "TARGETS 3 SAVED 1 0", "INCOMING 3 "+id+" 5000 0 - 0 0 -", "YOUR_TURN")...)
		assert.NoError(t, err)
		assert.Contains(t, out, "DENY 3 "+id, "nothing has run: a prompt pushback")
	}
}

func TestSettingsOutOfRangeAreNamed(t *testing.T) {
	for part, says := range map[string]string{
		`"Instances":-1`:              "Instances",
		`"Rules":{"FallMs":-5}`:       "FallMs",
		`"Limits":{"MaxAttempts":-2}`: "MaxAttempts",
		`"Rules":{"ColdFrom":1.5}`:    "ColdFrom",
		`"RegistryMode":"carrier"`:    "RegistryMode",
		`"Instances":"many"`:          "Instances",
	} {
		conf := `{"Classes":[{"AimMs":1,"DeadlineMs":2,"Repeat":"once"}],"RegistryMode":"automatic",` + part + `}`
		_, err := play("SYNC 1", "BEGIN 3 42 "+conf)
		assert.ErrorContains(t, err, says, part)
	}
}

func TestListsFailRepeatShrinkAndAreAskedForAgain(t *testing.T) {
	asks := strings.Replace(setup, `"automatic"`, `"subscribe"`, 1)
	lines := []string{"SYNC 1000", "BEGIN 3 42 " + asks, "SNAPSHOT_ROWS 0 300"}
	for i := range 300 {
		lines = append(lines, fmt.Sprintf("M 10.0.%d.%d:7000 0 0 0 active 1 -", i/200, i%200))
	}
	out, err := play(append(lines, "TARGETS 3 SAVED 1 0", "TARGETS 3 SAVED 1 0", "YOUR_TURN", "SYNC 2000", "RING 3 1",
		"YOUR_TURN", "SYNC 3000", "TARGETS 3 FAILED 1 9", "YOUR_TURN", "SYNC 4000", "RING 3 2", "SNAPSHOT_ROWS 0 1",
		"M 10.0.0.7:7000 0 0 0 active 1 -", "TARGETS 3 FULL 2 0", "INCOMING 3 "+id+" 9000 0 - 0 0 -", "YOUR_TURN")...)
	assert.NoError(t, err)
	assert.Equal(t, 2, strings.Count(out, "WATCH 3 1"))
	assert.Contains(t, out, "ROUTE 3 "+id+" 10.0.0.7:7000 ", "the others have left")
}
