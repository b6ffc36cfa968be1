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

// platformConfig is the platform's configuration of a node.
type platformConfig struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Admin     string          `json:"admin_addr"` // empty: no admin address
	Seed      string          `json:"seed"`
	Machine   limits.Machine  `json:"limits"`
	Known     json.RawMessage `json:"known"` // the endpoint list to start with
	Settings  json.RawMessage `json:"settings"`

	text          []byte // the file
	fileDiscovery string // discovery as the file has it, without EDGE_DISCOVERY
	node          *settings.Instance
	list          *endpoints.List
	limits        limits.Limits
}

// readPlatformConfig reads the file that EDGE_CONFIG names. Other variables override keys of it, so that a node can
// be moved without a new file.
func readPlatformConfig(getenv func(string) string) (*platformConfig, error) {
	maxDescriptors := descriptorLimit()
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG is not set: it names the configuration file")
	}
	text, err := readWithSpare(func() ([]byte, error) { return os.ReadFile(path) })
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	config := &platformConfig{text: text}
	if err := json.Unmarshal(text, config); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	config.fileDiscovery = config.Discovery
	config.Machine.Sockets = min(config.Machine.Sockets, maxDescriptors)
	config.override(getenv)
	if err := config.compile(); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return config, nil
}

// override takes what the environment has in place of the file's keys.
func (p *platformConfig) override(getenv func(string) string) {
	for name, field := range map[string]*string{
		"EDGE_NAME":       &p.Name,
		"EDGE_LISTEN":     &p.Listen,
		"EDGE_DISCOVERY":  &p.Discovery,
		"EDGE_ADMIN_ADDR": &p.Admin,
	} {
		if value := getenv(name); value != "" {
			*field = value
		}
	}
}

// compile checks the keys and derives from them what the node works with.
func (p *platformConfig) compile() error {
	if err := p.checkAddresses(); err != nil {
		return err
	}
	if len(p.Settings) == 0 || string(p.Settings) == "null" {
		return errors.New("settings are missing")
	}
	var err error
	if p.node, err = settings.Parse(p.Settings); err != nil {
		return err
	}
	if err := p.node.ValidateNames(); err != nil {
		return err
	}
	p.list = &endpoints.List{Complete: true}
	if len(p.Known) > 0 {
		if p.list, err = endpoints.Parse(p.Known); err != nil {
			return fmt.Errorf("known: %w", err)
		}
	}
	machine := p.Machine
	if p.Admin != "" {
		machine.Sockets -= admin.DefaultLimits().Descriptors()
	}
	if p.limits, err = limits.New(machine, p.node); err != nil {
		return err
	}
	p.node.MaxFirstPollDelay = p.limits.MaxPollInterval.Seconds()
	return nil
}

func (p *platformConfig) checkAddresses() error {
	required := map[string]string{"listen": p.Listen, "discovery": p.Discovery}
	if p.Admin != "" {
		required["admin_addr"] = p.Admin
	}
	for key, address := range required {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	return nil
}

// addressSetter is an endpoint watcher, which can be moved to another discovery.
type addressSetter interface{ SetAddress(addr string) }

// reload reads the file again and returns the configuration in force.
//
// Discovery's address and the settings are taken over; everything else needs a restart. The file's address goes
// before EDGE_DISCOVERY, which is as old as the process. A file that is wrong, or lacks a key that the one in force
// has, changes nothing. An unreadableError means that the file can't be read for now and has to be read again.
func (p *platformConfig) reload(getenv func(string) string, watcher addressSetter, applySettings func(*platformConfig),
	log *zap.Logger) (*platformConfig, error) {
	next, err := p.readNext(getenv)
	var unreadable *unreadableError
	if errors.As(err, &unreadable) {
		return p, err
	}
	if err != nil {
		logRejectedConfiguration(log, err)
		return p, nil
	}
	inForce := *p
	inForce.text = next.text
	inForce.fileDiscovery = next.fileDiscovery
	if inForce.fileDiscovery != p.fileDiscovery {
		inForce.Discovery = inForce.fileDiscovery
		watcher.SetAddress(inForce.Discovery)
	}
	settingsChanged := !bytes.Equal(next.Settings, p.Settings)
	if settingsChanged {
		inForce.Settings, inForce.node, inForce.limits = next.Settings, next.node, next.limits
		applySettings(&inForce)
	}
	log.Info("configuration reloaded", zap.String("discovery", inForce.Discovery),
		zap.Bool("settings", settingsChanged), zap.Strings("restart_required", p.keysNeedingRestart(next)))
	return &inForce, nil
}

// readNext reads the file again and checks that it may follow this configuration.
func (p *platformConfig) readNext(getenv func(string) string) (*platformConfig, error) {
	next, err := readPlatformConfig(getenv)
	if err != nil {
		return nil, err
	}
	if next.fileDiscovery != p.fileDiscovery { // compile has checked EDGE_DISCOVERY in its place
		if _, _, err := net.SplitHostPort(next.fileDiscovery); err != nil {
			return nil, fmt.Errorf("discovery: %w", err)
		}
	}
	return next, settings.CheckComplete(p.text, next.text, "known")
}

// keysNeedingRestart returns the keys that differ in the next configuration and can't be reloaded.
func (p *platformConfig) keysNeedingRestart(next *platformConfig) []string {
	var keys []string
	for key, same := range map[string]bool{
		"name":                    next.Name == p.Name,
		"listen":                  next.Listen == p.Listen,
		"limits":                  next.Machine == p.Machine,
		"admin_addr":              next.Admin == p.Admin,
		"settings.Zones":          slices.Equal(next.node.ZoneNames, p.node.ZoneNames),
		"settings.MyZone":         next.node.Zone == p.node.Zone,
		"settings.RegistryMode":   next.node.MustSubscribe == p.node.MustSubscribe,
		"settings.Limits.MaxOpen": next.node.MaxInFlight == p.node.MaxInFlight,
	} {
		if !same {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// logRejectedConfiguration logs that a new configuration changes nothing, with each of its errors.
func logRejectedConfiguration(log *zap.Logger, err error) {
	log.Error("configuration rejected", zap.Strings("errors", strings.Split(err.Error(), "\n")))
}

// seed returns the seed of the node's random numbers. The name is part of it: two nodes that were given one seed
// must not choose alike.
func (p *platformConfig) seed() int64 {
	hash := fnv.New64a()
	hash.Write([]byte(p.Name))
	if seed, err := strconv.ParseUint(p.Seed, 16, 64); err == nil {
		return int64(hash.Sum64() ^ seed)
	}
	hash.Write([]byte(p.Seed))
	return int64(hash.Sum64())
}
