package cost

import (
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/standin"
)

func TestSamples_Summarize(t *testing.T) {
	samples := Samples{
		{Target: Direct, Case: 175, Round: 0, P50: 2, Calls: 10, OK: 9, InvalidBecause: []string{"late"}},
		{Target: Proxy, Case: 175, Round: 0, P50: 5, Calls: 10, OK: 10},
		{Target: Proxy, Case: 175, Round: 1, P50: 9, Calls: 20, OK: 19},
		{Target: Direct, Case: 175, Round: 1, P50: 8, Calls: 20, OK: 20},
		{Target: Proxy, Case: 500, Round: 0, P50: 100, Calls: 7},
	}
	p50 := func(s *Sample) float64 { return float64(s.P50) }
	assert.Equal(t, Summary{Median: 7, Min: 5, Max: 9}, samples.Summarize(Proxy, "", 175, p50))
	assert.Equal(t, Summary{Median: 2, Min: 1, Max: 3}, samples.Summarize(Proxy, Direct, 175, p50), "round by round")
	assert.Zero(t, samples.Summarize("node", "", 175, p50))
	calls, ok := samples.Calls(Proxy, 175)
	assert.Equal(t, []int{30, 29}, []int{calls, ok})
	assert.Equal(t, []string{"late"}, samples.Invalid())
}

func TestQuantile(t *testing.T) {
	assert.Zero(t, quantile(nil, 0.5))
	durations := []time.Duration{4, 1, 3, 2}
	assert.EqualValues(t, 3, quantile(durations, 0.5))
	assert.EqualValues(t, 4, quantile(durations, 1))
}

func TestRotate(t *testing.T) {
	assert.Equal(t, []int{1, 2, 3}, rotate([]int{1, 2, 3}, 0))
	assert.Equal(t, []int{3, 1, 2}, rotate([]int{1, 2, 3}, 5))
}

func TestTurnOrder_EachPhaseFirstAsOftenAsLast(t *testing.T) {
	first, last := map[int]int{}, map[int]int{}
	phases := len(stallPhases)
	for turn := range stallTurns {
		seen := map[int]bool{}
		for k := range phases {
			seen[turnOrder(turn, k, phases)] = true
		}
		assert.Len(t, seen, phases)
		first[turnOrder(turn, 0, phases)]++
		last[turnOrder(turn, phases-1, phases)]++
	}
	assert.Equal(t, map[int]int{0: 2, 1: 2, 2: 2}, first)
	assert.Equal(t, first, last)
}

func TestIsCompleteResponse(t *testing.T) {
	for response, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n":              false,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no":         false,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":        true,
		"HTTP/1.1 503 Busy\r\nRetry-After: 1\r\n\r\n":           true,
		"HTTP/1.1 500 Lab\r\nContent-Length: 0\r\nA: b\r\n\r\n": true,
	} {
		assert.Equal(t, want, isCompleteResponse([]byte(response)), response)
	}
}

func TestServers_AnswerEachRequest(t *testing.T) {
	servers, err := startServers(answerOK)
	require.NoError(t, err)
	t.Cleanup(servers.close)
	members := servers.members("s", 2)
	assert.Equal(t, "s1", members[1].ID)
	for _, member := range members {
		client, err := dial(member.Addr, "", 1)
		require.NoError(t, err)
		t.Cleanup(func() { client.Close() })
		for range 2 {
			status, err := client.call()
			assert.NoError(t, err)
			assert.Equal(t, http.StatusOK, status)
		}
		assert.EqualValues(t, 1<<32+2, client.traceID)
	}
}

func TestReadUsage(t *testing.T) {
	before, err := readUsage(os.Getpid())
	require.NoError(t, err)
	after, err := readUsage(os.Getpid())
	require.NoError(t, err)
	assert.Positive(t, after.CPU)
	assert.Positive(t, after.Sub(before).ReadWriteCalls, "the files were read between")
	_, err = readUsage(1 << 30)
	assert.Error(t, err)
}

func TestReadMemory(t *testing.T) {
	read := readMemory(os.Getpid())
	resident := standin.ReadProcessUsage(os.Getpid()).Resident
	assert.InEpsilon(t, resident, read.resident, 0.2, "in bytes")
	assert.Less(t, read.anonymous, read.resident)
	assert.Positive(t, readSlab())
}
