package run

import (
	"encoding/json"
	"fmt"
	"strings"

	"robincart/internal/system/telemetry"
)

// maxViolationExamples bounds the examples of each rule.
const maxViolationExamples = 3

// loggedViolation is the line that a node logs of a broken invariant.
type loggedViolation struct {
	Message string `json:"msg"`
	Rule    string `json:"rule"`
	Request string `json:"request"`
	Server  string `json:"server"`
	Detail  string `json:"detail"`
	Node    string `json:"node"`
}

// violations counts the broken invariants that the nodes themselves have logged, by rule, with examples.
func (f *fleet) violations() (counts map[string]int, examples []string) {
	counts = map[string]int{}
	for _, n := range f.nodes {
		for line := range strings.SplitSeq(n.Log(), "\n") {
			v, ok := parseViolation(line)
			if !ok {
				continue
			}
			counts[v.Rule]++
			if counts[v.Rule] <= maxViolationExamples {
				examples = append(examples, fmt.Sprintf("node %s: %s: request %s, server %s: %s",
					v.Node, v.Rule, v.Request, v.Server, v.Detail))
			}
		}
	}
	return counts, examples
}

// parseViolation reads a line of a node's log, if it is one of a broken invariant.
func parseViolation(line string) (v loggedViolation, ok bool) {
	if !strings.Contains(line, telemetry.ViolationMessage) {
		return v, false
	}
	if json.Unmarshal([]byte(line), &v) != nil {
		return v, false
	}
	return v, v.Message == telemetry.ViolationMessage
}
