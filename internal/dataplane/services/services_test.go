package services

import (
	"math/rand"
	"net/textproto"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/core/routes"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/resources/limits"
	"robincart/internal/resources/quota"
)

func TestRouteRequest_Host(t *testing.T) {
	for name, test := range map[string]struct {
		host      string // as httpwire.Reader returns it
		authority string
		headers   []string
		want      string // empty: the request is rejected
	}{
		"header": {"A.example.org:80", "", []string{"A.example.org:80"}, "a.example.org"},
		"target": {"", "a.example.org", nil, "a.example.org"},
		"target and equal header": {
			"A.example.org", "a.example.org", []string{"A.example.org"}, "a.example.org",
		},
		"target and different header": {"b.example.org", "a.example.org", []string{"b.example.org"}, ""},
		"repeated header":             {"a.example.org", "", []string{"a.example.org", "a.example.org"}, ""},
		"repeated header and target": {
			"a.example.org", "a.example.org", []string{"a.example.org", "a.example.org"}, "",
		},
		"none": {"", "", nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			header := textproto.MIMEHeader{}
			if test.headers != nil {
				header["Host"] = test.headers
			}
			routed, err := RouteRequest(&httpwire.Request{
				Path: "/find", Host: test.host, Authority: test.authority, Header: header,
			})
			if test.want == "" {
				assert.ErrorIs(t, err, routes.ErrInvalidHost)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, test.want, routed.Host)
			assert.Equal(t, "/find", routed.Path)
		})
	}
}

func TestRouteRequest_AmbiguousPath(t *testing.T) {
	_, err := RouteRequest(&httpwire.Request{Path: "/a/../b", Host: "a.example.org"})
	assert.ErrorIs(t, err, routes.ErrInvalidPath)
}

// newTestQuotas returns quotas with the given totals of requests and connections.
func newTestQuotas(requests, connections int64) *sharedQuotas {
	return &sharedQuotas{
		retryAfter: time.Second,
		random:     rand.New(rand.NewSource(1)),
		tree: quota.New(quota.Config{
			Total:            quota.Amount{quota.InFlight: requests, quota.Connections: connections},
			ReservedFraction: 1,
			CPUThreshold:     1,
		}),
	}
}

func TestServiceQuota_RetryAfter(t *testing.T) {
	for name, test := range map[string]struct{ maximum, want time.Duration }{
		"random":  {time.Hour, 2 * time.Second},
		"bounded": {700 * time.Millisecond, 700 * time.Millisecond},
		"none":    {0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestQuotas(1, 1).add(quota.Spec{Name: "s", Guarantee: 1, Weight: 1}, test.maximum)
			held, _, admitted := s.Acquire(0, 0)
			require.True(t, admitted)
			longest := time.Duration(0)
			for range 1000 {
				_, retryAfter, admitted := s.Acquire(0, 0)
				require.False(t, admitted)
				assert.GreaterOrEqual(t, retryAfter, min(500*time.Millisecond, test.maximum))
				longest = max(longest, retryAfter)
			}
			assert.InDelta(t, test.want.Seconds(), longest.Seconds(), 0.05)
			held.Release()
			_, _, admitted = s.Acquire(0, 0)
			assert.True(t, admitted)
		})
	}
}

func TestConnectionBudget_EvictsIdleConnections(t *testing.T) {
	quotas := newTestQuotas(1, 2)
	var evictions []string
	newBudget := func(name string, process *limits.Budget) *connectionBudget {
		return &connectionBudget{
			quota:   quotas.add(quota.Spec{Name: name, Weight: 1}, 0),
			process: process,
			evictOwn: func() bool {
				evictions = append(evictions, "own")
				return false
			},
			evictOther: func(*serviceQuota) bool {
				evictions = append(evictions, "other")
				return false
			},
		}
	}
	process := limits.NewBudget(2, 0, nil)
	first, second := newBudget("first", process), newBudget("second", process)
	require.True(t, first.Acquire())
	require.True(t, first.Acquire())
	assert.Empty(t, evictions)

	assert.False(t, second.Acquire())
	assert.Equal(t, []string{"own", "other"}, evictions, "the service's own connections are tried first")
	second.evictOther = func(except *serviceQuota) bool {
		assert.Same(t, second.quota, except)
		first.Release()
		return true
	}
	assert.True(t, second.Acquire())
	assert.Zero(t, process.Available())

	t.Run("without descriptors", func(t *testing.T) {
		third := newBudget("third", limits.NewBudget(0, 0, nil))
		second.Release()
		assert.False(t, third.Acquire())
		assert.True(t, second.Acquire(), "the failed Acquire has returned its part of the quota")
	})
}
