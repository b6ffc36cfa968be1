package main

import (
	"math/rand"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/apiserver"
)

func TestTheScriptedClusterDoesWhatItIsTold(t *testing.T) {
	api, err := apiserver.Start("127.0.0.1:0", nil)
	require.NoError(t, err)
	defer api.Stop()
	c := &apiserver.Cluster{API: api, Service: "s", Port: 1, PerSlice: 2, Nodes: 2, Rand: rand.New(rand.NewSource(1)), Address: func(int) string { return "127.0.0.1" }}
	c.Scale(5)
	var out strings.Builder
	say := func(line string) error { return told(t.Context(), c, strings.Fields(line), &out) }
	endpoints := func() int {
		n := 0
		for _, k := range []string{"s-0", "s-1", "s-2", "s-3", "s-4"} {
			if s := api.Get("endpointslices", "default", k); s != nil {
				n += len(s["endpoints"].([]any))
			}
		}
		return n
	}
	for _, line := range []string{"", "roll", "evict p3", "scale 4", "leave 1", "uncordon 1", "break", "replay", "compact", "hang 1ms", "limit 0", "fail 0", "backup", "roll", "restore", "pods", "help"} {
		assert.NoError(t, say(line), line)
	}
	assert.Len(t, c.Live(), 4)
	assert.Equal(t, 4, endpoints(), "after all that, and a restored backup")
	assert.Contains(t, out.String(), strings.Join(c.Live(), " "))
	for _, line := range []string{"dance", "evict", "evict p3", "scale", "scale -1", "scale 9999", "cordon 2", "hang", "hang 2h", "hang -1s", "limit x"} {
		assert.Error(t, say(line), line)
	}
	assert.Len(t, c.Live(), 4)
}
