// Package nodeconfig reads, checks and compiles a node's configuration file: TOML with services, the routes to them
// and their shares of the node.
//
// A file passes through these steps, each in a file of this package: it is decoded strictly (schema.go), missing
// keys get their defaults (defaults.go), every mistake is collected (validate.go, validateservice.go) and reported
// with its line (lines.go), and the rest is compiled to what the other packages work with (compile.go,
// servicesettings.go). Entries of the record go over the file before the same steps (recordentries.go).
//
// The package is pure but for reading the file. It does not decide when a configuration is applied;
// KeepProcessSettings returns what a running process can't change.
package nodeconfig

import (
	"fmt"
	"hash/fnv"
	"slices"

	"robincart/internal/core/node"
	"robincart/internal/core/routes"
	"robincart/internal/protocol/settings"
	"robincart/internal/resources/limits"
	"robincart/internal/resources/quota"
	"robincart/internal/system/tomlfile"
)

// maxFileBytes is the longest file that is read.
const maxFileBytes = 16 << 20

// Config is a file that has been read, checked and compiled.
type Config struct {
	File
	Table  *routes.Table
	Pools  []Pool // in the order of the file's services
	Quota  quota.Config
	Limits limits.Limits
}

// Pool is one service, compiled.
type Pool struct {
	Service
	QuotaSpec       quota.Spec
	Settings        *settings.Instance
	StaticEndpoints []node.Endpoint // its servers, if it has no discovery
	Fingerprint     string          // pools with equal fingerprints can share a core
	Limits          limits.Limits
}

// Read reads a file. The error holds every mistake, a line each, with the line or the key that it is at.
// maxDescriptors is how many descriptors the process may have; a larger machine.sockets is reduced to it. 0: there
// is no such limit.
func Read(path string, maxDescriptors int) (*Config, error) {
	text, err := tomlfile.Read(path, maxFileBytes)
	if err != nil {
		return nil, err
	}
	config, err := Parse(text, maxDescriptors)
	if err != nil {
		return nil, fmt.Errorf("%s:\n%w", path, err)
	}
	return config, nil
}

// Parse reads a file's text, as Read does.
func Parse(text []byte, maxDescriptors int) (*Config, error) {
	config := &Config{}
	if err := tomlfile.Decode(text, &config.File); err != nil {
		return nil, err
	}
	config.setDefaults()
	if maxDescriptors > 0 {
		config.Machine.Sockets = min(config.Machine.Sockets, maxDescriptors)
	}
	if err := config.compile(); err != nil {
		return nil, addLines(err, text)
	}
	return config, nil
}

// SeedOf returns the seed of a service's random numbers. The names are part of it: no two services, and no two
// nodes, may choose alike.
func (c *Config) SeedOf(service string) int64 {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s/%s/%s", c.Name, service, c.Seed)
	return int64(hash.Sum64())
}

// KeepProcessSettings replaces what a running process can't change by what it runs with, and returns the keys where
// the two differ.
func (c *Config) KeepProcessSettings(running *Config) (restartKeys []string) {
	for key, same := range map[string]bool{
		"name":    c.Name == running.Name,
		"listen":  slices.Equal(c.Listen, running.Listen),
		"log":     c.Log == running.Log,
		"machine": c.Machine == running.Machine,
		"callers": c.Clients == running.Clients,
		"admin":   c.Admin == running.Admin,
		"gateway": slices.Equal(c.Gateways, running.Gateways),
		"record":  c.Record.equal(&running.Record),
		"keys":    c.Keys == running.Keys,

		"deadlines longer than any before": c.Limits.RequestIDTTL <= running.Limits.RequestIDTTL,
	} {
		if !same {
			restartKeys = append(restartKeys, key)
		}
	}
	slices.Sort(restartKeys)
	c.Name = running.Name
	c.Listen = running.Listen
	c.Log = running.Log
	c.Machine = running.Machine
	c.Clients = running.Clients
	c.Admin = running.Admin
	c.Gateways = running.Gateways
	c.Record = running.Record
	c.Keys = running.Keys
	c.Limits = running.Limits
	c.Quota.Total = running.Quota.Total
	return restartKeys
}

// equal compares what MaxStaleness points to, too.
func (r *Record) equal(other *Record) bool {
	a, b := *r, *other
	a.MaxStaleness, b.MaxStaleness = nil, nil
	return a == b && *r.MaxStaleness == *other.MaxStaleness
}
