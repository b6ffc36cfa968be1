package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"robincart/internal/admin"
	"robincart/internal/controlplane/endpoints"
	"robincart/internal/protocol/settings"
	"robincart/internal/resources/limits"
)

// config is what a node is told at its start.
type config struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Admin     string          `json:"admin_addr"` // the operators' address; empty: none
	Seed      string          `json:"seed"`
	Machine   limits.Machine  `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`

	file   string // the discovery that the file names
	text   []byte // the file
	node   *settings.Instance
	list   *endpoints.List
	limits limits.Limits
}

// readConfig reads the file that EDGE_CONFIG names. The other variables say parts of it again; where they are
// set they go first, so that a node can be moved without a new file.
func readConfig(getenv func(string) string) (*config, error) {
	most := files()
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG is not set: it names the configuration file")
	}
	text, err := reading(func() ([]byte, error) { return os.ReadFile(path) })
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c := &config{text: text}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	c.file = c.Discovery
	c.Machine.Sockets = min(c.Machine.Sockets, most)
	for name, to := range map[string]*string{"EDGE_NAME": &c.Name, "EDGE_LISTEN": &c.Listen,
		"EDGE_DISCOVERY": &c.Discovery, "EDGE_ADMIN_ADDR": &c.Admin} {
		if v := getenv(name); v != "" {
			*to = v
		}
	}
	for name, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery, "admin_addr": c.Admin} {
		if name == "admin_addr" && addr == "" {
			continue
		}
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
	if err := c.node.ValidateNames(); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	c.list = &endpoints.List{Complete: true}
	if len(c.Known) > 0 {
		if c.list, err = endpoints.Parse(c.Known); err != nil {
			return nil, fmt.Errorf("configuration %s: known: %w", path, err)
		}
	}
	m := c.Machine
	if c.Admin != "" {
		m.Sockets -= admin.DefaultLimits().Descriptors()
	}
	c.limits, err = limits.New(m, c.node)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	c.node.MaxFirstPollDelay = c.limits.MaxCallInterval.Seconds()
	return c, nil
}

// mover is what follows another discovery.
type mover interface{ SetAddress(addr string) }

// reload reads the file again and returns the configuration in force. Of what has changed the discovery's
// address and the settings are taken, and the address goes before EDGE_DISCOVERY, which is as old as the process; all else
// waits for a restart. A file that can't be used, or lacks what the one in force has, changes nothing; one that can't be read for now is an
// error, and to be read again.
func (c *config) reload(getenv func(string) string, w mover, tune func(*config), log *zap.Logger) (*config, error) {
	fresh, err := readConfig(getenv)
	var unreadable *UnreadableError
	if errors.As(err, &unreadable) {
		return c, err
	}
	if err == nil {
		if _, _, bad := net.SplitHostPort(fresh.file); bad != nil && fresh.file != c.file {
			err = fmt.Errorf("discovery: %w", bad)
		}
	}
	if err == nil {
		err = settings.CheckComplete(c.text, fresh.text, "known")
	}
	if err != nil {
		log.Error("the new configuration can't be used; the old one stays", zap.Strings("mistakes", strings.Split(err.Error(), "\n")))
		return c, nil
	}
	var waits []string
	for name, same := range map[string]bool{
		"name": fresh.Name == c.Name, "listen": fresh.Listen == c.Listen, "limits": fresh.Machine == c.Machine, "admin_addr": fresh.Admin == c.Admin,
		"settings.Zones": slices.Equal(fresh.node.ZoneNames, c.node.ZoneNames), "settings.MyZone": fresh.node.Zone == c.node.Zone,
		"settings.RegistryMode": fresh.node.MustSubscribe == c.node.MustSubscribe, "settings.Limits.MaxOpen": fresh.node.MaxInFlight == c.node.MaxInFlight} {
		if !same {
			waits = append(waits, name)
		}
	}
	slices.Sort(waits)
	now := *c
	now.text = fresh.text
	if now.file = fresh.file; now.file != c.file {
		now.Discovery = now.file
		w.SetAddress(now.Discovery)
	}
	tuned := !bytes.Equal(fresh.Settings, c.Settings)
	if tuned {
		now.Settings, now.node, now.limits = fresh.Settings, fresh.node, fresh.limits
		tune(&now)
	}
	log.Info("configuration read again", zap.String("discovery", now.Discovery), zap.Bool("settings", tuned),
		zap.Strings("only after a restart", waits))
	return &now, nil
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
