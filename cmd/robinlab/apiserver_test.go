package main

import (
	"math/rand"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/apiserver"
)

func newTestScript(t *testing.T) (*clusterScript, *strings.Builder) {
	t.Helper()
	api, err := apiserver.Start("127.0.0.1:0", nil)
	require.NoError(t, err)
	t.Cleanup(api.Stop)
	out := &strings.Builder{}
	cluster := &apiserver.Cluster{
		API:      api,
		Service:  "s",
		Port:     1,
		PerSlice: 2,
		Nodes:    2,
		Rand:     rand.New(rand.NewSource(1)),
		Address:  func(int) string { return "127.0.0.1" },
	}
	cluster.Scale(5)
	return &clusterScript{cluster: cluster, out: out}, out
}

// countEndpoints returns the endpoints in the service's slices.
func countEndpoints(api *apiserver.Server) int {
	count := 0
	for _, name := range []string{"s-0", "s-1", "s-2", "s-3", "s-4"} {
		if slice := api.Get("endpointslices", "default", name); slice != nil {
			count += len(slice["endpoints"].([]any))
		}
	}
	return count
}

func TestClusterScript_Execute(t *testing.T) {
	script, out := newTestScript(t)
	for _, line := range []string{
		"", "roll", "evict p3", "scale 4", "leave 1", "uncordon 1", "break", "replay", "compact", "hang 1ms", "limit 0",
		"fail 0", "backup", "roll", "restore", "pods", "help",
	} {
		assert.NoError(t, script.execute(t.Context(), line), line)
	}
	pods := script.cluster.Live()
	assert.Len(t, pods, 4)
	assert.Equal(t, 4, countEndpoints(script.cluster.API), "after all that, and a restored backup")
	assert.Contains(t, out.String(), strings.Join(pods, " "))
	for _, line := range []string{
		"dance", "evict", "evict p3", "scale", "scale -1", "scale 9999", "cordon 2", "hang", "hang 2h", "hang -1s",
		"limit x",
	} {
		assert.Error(t, script.execute(t.Context(), line), line)
	}
	assert.Len(t, script.cluster.Live(), 4)
}
