package simwire

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

const settings = `{"Classes":[{"AimMs":2500,"DeadlineMs":6000,"Credit":1,"Repeat":"repeatable"}],"Instances":1,` +
	`"RegistryMode":"automatic","Limits":{"MaxAttempts":3,"SecondCopies":true,"MayCancel":true},"Novelty":{"x":1},` +
	`"Report":{"Fields":["depth"]}}`

const id = "5d3a91c4-216f-49d7-a3dc-5fcaa1866f2f"

func play(lines ...string) (string, error) {
	var out bytes.Buffer
	err := NewHub(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out).Run()
	return out.String(), err
}

func begun(lines ...string) []string {
	return append([]string{"SYNC 1000.5", "BEGIN 3 42 " + settings, "SNAPSHOT_ROWS 0 1",
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
