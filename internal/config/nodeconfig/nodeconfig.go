// Package nodeconfig reads, checks and compiles a node's configuration file. The file is TOML. It holds services, the
// routes to them and their shares of the node's resources.
//
// The steps are: the file is decoded strictly (schema.go), missing keys get their defaults (defaults.go), all mistakes
// are collected (validate.go, validateservice.go) and reported with their lines (lines.go), and the file is compiled
// to the types of the other packages (compile.go, servicesettings.go). WithRecord merges the entries of the record
// into a decoded file and repeats the steps that follow the decoding (recordentries.go, recordmerge.go). It leaves out
// entries that do not fit (recordfaults.go).
//
// The package does no I/O except reading the file. Its callers decide when a configuration is applied.
// KeepProcessSettings returns the keys that a running process can't change.
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

// maxFileBytes is the maximum size of a configuration file.
const maxFileBytes = 16 << 20

// Config is a file that has been read, checked and compiled.
type Config struct {
	File
	Table  *routes.Table
	Pools  []Pool // one per service, in the order of the file
	Quota  quota.Config
	Limits limits.Limits
}

// Pool is a compiled service.
type Pool struct {
	Service
	QuotaSpec       quota.Spec
	Settings        *settings.Instance
	StaticEndpoints []node.Endpoint // the servers of a service without discovery
	Fingerprint     string          // pools with equal fingerprints can share a core
	Limits          limits.Limits
}

// Read reads, checks and compiles the file at a path. The error lists all mistakes, one per line, each with its key and
// its line in the file, if the line is known.
//
// maxDescriptors is the maximum number of file descriptors of the process, or 0 for no maximum. A larger
// machine.sockets is reduced to maxDescriptors.
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

// Parse checks and compiles the text of a file, as Read does.
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

// SeedOf returns the seed of a service's random numbers. The names of the node and the service are part of the seed: no
// two services, and no two nodes, may make the same random choices.
func (c *Config) SeedOf(service string) int64 {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s/%s/%s", c.Name, service, c.Seed)
	return int64(hash.Sum64())
}

// KeepProcessSettings replaces the settings that a running process can't change by their values in the running
// configuration. It returns the keys whose values differ.
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

// equal reports whether all settings are equal. It compares the durations that MaxStaleness points to, not the
// pointers.
func (r *Record) equal(other *Record) bool {
	a, b := *r, *other
	a.MaxStaleness, b.MaxStaleness = nil, nil
	return a == b && *r.MaxStaleness == *other.MaxStaleness
}
