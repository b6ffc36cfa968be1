package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"strconv"

	"robincart/internal/limits"
	"robincart/internal/registry"
	"robincart/internal/settings"
)

// config is what a node is told at its start.
type config struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Machine   limits.Machine  `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`

	node   *settings.Node
	list   *registry.List
	limits limits.Limits
}

// readConfig reads the file that EDGE_CONFIG names. The other variables say parts of it again; where they are
// set they go first, so that a node can be moved without a new file.
func readConfig(getenv func(string) string) (*config, error) {
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG is not set: it names the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c := &config{}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	for name, to := range map[string]*string{"EDGE_NAME": &c.Name, "EDGE_LISTEN": &c.Listen,
		"EDGE_DISCOVERY": &c.Discovery} {
		if v := getenv(name); v != "" {
			*to = v
		}
	}
	for name, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("configuration %s: %s: %w", path, name, err)
		}
	}
	if len(c.Settings) == 0 || string(c.Settings) == "null" {
		return nil, fmt.Errorf("configuration %s: settings are missing", path)
	}
	if c.node, err = settings.Parse(c.Settings); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	c.list = &registry.List{Complete: true}
	if len(c.Known) > 0 {
		if c.list, err = registry.Parse(c.Known); err != nil {
			return nil, fmt.Errorf("configuration %s: known: %w", path, err)
		}
	}
	c.limits, err = limits.Fill(c.Machine, c.node)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// seed is the start of the node's random numbers. The name counts too: two nodes started with one seed must
// not choose alike.
func (c *config) seed() int64 {
	h := fnv.New64a()
	h.Write([]byte(c.Name))
	if n, err := strconv.ParseUint(c.Seed, 16, 64); err == nil {
		return int64(h.Sum64() ^ n)
	}
	h.Write([]byte(c.Seed))
	return int64(h.Sum64())
}
