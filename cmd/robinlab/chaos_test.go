package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/chaos"
)

// The cluster manager drains servers by replicas that die, over watches that break, and real nodes that are connected
// to them by mutual TLS.
func TestController_NoDrainedServerIsCalled(t *testing.T) {
	t.Parallel()
	drains := &chaos.Controller{
		Program:  program(controllerProgram),
		Node:     program("robincart"),
		Drains:   160,
		Pace:     25,
		Servers:  60,
		Replicas: 2,
		Nodes:    1,
		Rate:     50,
		Seed:     time.Now().UnixNano() % drawnSeeds,
		Faults:   true,
		Keys:     true,
		Slack:    2 * time.Second,
	}
	require.NoError(t, drains.Play(t.Context()))
	assert.Empty(t, drains.Broken, "seed %d", drains.Seed)
	assert.Greater(t, drains.Calls, 100)
	assert.GreaterOrEqual(t, drains.Counts["drains"], 160)
}

// HTTP and FastCGI on either side, with servers that die in their answers.
func TestPairs_OneAnswerAndNoEffectTwice(t *testing.T) {
	t.Parallel()
	const requests = 1500
	pairs := &chaos.Pairs{
		Program:  program("robincart"),
		Requests: requests,
		Calm:     300,
		Callers:  8,
		Seed:     time.Now().UnixNano() % drawnSeeds,
	}
	require.NoError(t, pairs.Play(t.Context()))
	assert.Empty(t, pairs.Broken, "seed %d", pairs.Seed)
	require.Len(t, pairs.All, 4)
	for i := range pairs.All {
		pair := &pairs.All[i]
		answers, faults := 0, 0
		for _, count := range pair.Answers {
			answers += count
		}
		for _, count := range pair.Faults {
			faults += count
		}
		assert.Equal(t, requests, answers, "%s in, %s out", pair.In, pair.Out)
		assert.Positive(t, faults)
	}
}
