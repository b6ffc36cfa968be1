package soak

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/experiment"
)

func TestEverySeedIsAnExperimentAndTheSameOneAgain(t *testing.T) {
	kinds := map[string]int{}
	for seed := range uint64(200) {
		text := Text(seed+1, Default)
		assert.Equal(t, text, Text(seed+1, Default))
		e, err := experiment.Parse([]byte(text), ".")
		require.NoError(t, err, "%s", text)
		overlaps := 0
		for i, a := range e.Fault {
			kinds[a.Kind]++
			for _, b := range e.Fault[:i] {
				if a.At <= b.At+b.For && b.At <= a.At+a.For {
					overlaps++
				}
			}
		}
		assert.Positive(t, overlaps, "seed %d", seed+1)
	}
	for _, all := range [][]trouble{servers, nodes, lists, calls} {
		for _, k := range all {
			assert.Positive(t, kinds[k.kind], k.kind)
		}
	}
	assert.NotEqual(t, strings.Replace(Text(1, Default), "seed = 1", "", 1), strings.Replace(Text(2, Default), "seed = 2", "", 1))
}
