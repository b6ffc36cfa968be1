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

// platformConfig is a node's configuration as the platform writes it.
type platformConfig struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Admin     string          `json:"admin_addr"` // empty: no admin address
	Seed      string          `json:"seed"`
	Machine   limits.Machine  `json:"limits"`
	Known     json.RawMessage `json:"known"` // the endpoint list to start with
	Settings  json.RawMessage `json:"settings"`

	text          []byte // the file's content
	fileDiscovery string // the file's discovery address, not overridden by EDGE_DISCOVERY
	node          *settings.Instance
	list          *endpoints.List
	limits        limits.Limits
}

// readPlatformConfig reads the file that EDGE_CONFIG names. Other environment variables override some of the file's
// keys, so that a node can get other addresses without a new file.
func readPlatformConfig(getenv func(string) string) (*platformConfig, error) {
	maxDescriptors := descriptorLimit()
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG is not set: expected the path of the configuration file")
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

// override replaces values of the file by the values of those environment variables that are set.
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

// compile validates the values and derives the settings, the endpoint list and the limits from them.
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

// addressSetter is implemented by the endpoint watcher, whose discovery address can be changed.
type addressSetter interface{ SetAddress(addr string) }

// reload reads the file again and returns the configuration in force.
//
// The discovery address and the settings take effect; all other changes need a restart. A discovery address that has
// changed in the file takes precedence over EDGE_DISCOVERY, because the value of EDGE_DISCOVERY dates from the start of
// the process and is older. A file that is invalid, or lacks a key that the configuration in force has, changes
// nothing. An unreadableError means that the file can't be read at present and the reload has to be retried.
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

// readNext reads the file again, and checks that it is valid and has all keys of this configuration.
func (p *platformConfig) readNext(getenv func(string) string) (*platformConfig, error) {
	next, err := readPlatformConfig(getenv)
	if err != nil {
		return nil, err
	}
	// If EDGE_DISCOVERY is set, compile has checked the address in EDGE_DISCOVERY and not the address in the file.
	if next.fileDiscovery != p.fileDiscovery {
		if _, _, err := net.SplitHostPort(next.fileDiscovery); err != nil {
			return nil, fmt.Errorf("discovery: %w", err)
		}
	}
	return next, settings.CheckComplete(p.text, next.text, "known")
}

// keysNeedingRestart returns the keys whose values differ in the next configuration and take effect only at a restart.
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

// logRejectedConfiguration logs that a new configuration was rejected, with each of its errors.
func logRejectedConfiguration(log *zap.Logger, err error) {
	log.Error("configuration rejected", zap.Strings("errors", strings.Split(err.Error(), "\n")))
}

// seed returns the seed of the node's random numbers. It includes the node's name: two nodes that are configured with
// the same seed must not make the same choices.
func (p *platformConfig) seed() int64 {
	hash := fnv.New64a()
	hash.Write([]byte(p.Name))
	if seed, err := strconv.ParseUint(p.Seed, 16, 64); err == nil {
		return int64(hash.Sum64() ^ seed)
	}
	hash.Write([]byte(p.Seed))
	return int64(hash.Sum64())
}
