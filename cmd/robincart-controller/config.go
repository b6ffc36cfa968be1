package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"robincart/internal/controlplane/controller"
	"robincart/internal/controlplane/fanout"
	"robincart/internal/controlplane/membership"
	"robincart/internal/record/store/sqlstore"
	"robincart/internal/system/keys"
	"robincart/internal/system/tomlfile"
)

const (
	maxFileBytes = 1 << 20
	// maxServices is the maximum number of lists that a controller publishes: each list has its own listener and
	// watchers.
	maxServices = 1000

	defaultNamespace        = "default"
	defaultLeaseName        = "robincart-controller"
	defaultLeaseDuration    = 6 * time.Second
	defaultMaxRecordClients = 5000
	minLeaseDuration        = time.Second
)

// file is the configuration file. docs/controller.md describes its keys. The keys differ from the names of the fields
// because users' files still have the old keys.
type file struct {
	Identity   string          `toml:"identity"`
	Status     string          `toml:"status"`
	API        apiTable        `toml:"api"`
	Leader     leaderTable     `toml:"leader"`
	Membership membershipTable `toml:"membership"`
	Fanout     fanoutTable     `toml:"fanout"`
	Keys       keys.Files      `toml:"keys"` // for connections from nodes
	Record     recordTable     `toml:"record"`
	Services   []serviceTable  `toml:"service"`
}

type leaderTable struct {
	Lease         string            `toml:"lease"`
	LeaseDuration tomlfile.Duration `toml:"hold"`
}

// membershipTable holds the configured values of membership.Config. A nil pointer means the default value.
type membershipTable struct {
	FlapDelay            *tomlfile.Duration `toml:"flap"`
	MaxFlapDelay         *tomlfile.Duration `toml:"flap_most"`
	MaxShrinkFraction    *float64           `toml:"shrink_at"`
	ShrinkHold           *tomlfile.Duration `toml:"shrink_for"`
	ForgetAfter          *tomlfile.Duration `toml:"forget"`
	SlowStartDuration    *tomlfile.Duration `toml:"cold_for"`
	MaxSlowStartFraction *float64           `toml:"cold_most"`
	DrainCordoned        bool               `toml:"cordons"`
}

type fanoutTable struct {
	History     int `toml:"history"`
	MaxWatchers int `toml:"watchers"`
}

type recordTable struct {
	Store      string `toml:"store"`
	Listen     string `toml:"listen"`
	MaxClients int    `toml:"callers"`
}

type serviceTable struct {
	Name    string `toml:"name"`
	Service string `toml:"service"`
	Port    string `toml:"port"`
	Listen  string `toml:"listen"`
}

// problems collects the errors in a file, so that an operator sees all errors at once.
type problems []error

func (p *problems) add(format string, args ...any) { *p = append(*p, fmt.Errorf(format, args...)) }

// checkAddress adds a problem if a value is not an address with a port.
func (p *problems) checkAddress(key, address string) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		p.add("%s: %q is not an address with a port", key, address)
	}
}

// readConfig reads and validates a configuration file. The returned error holds all problems that were found.
func readConfig(path string) (controller.Config, error) {
	text, err := tomlfile.Read(path, maxFileBytes)
	if err != nil {
		return controller.Config{}, err
	}
	var f file
	if err := tomlfile.Decode(text, &f); err != nil {
		return controller.Config{}, fmt.Errorf("%s:\n%w", path, err)
	}
	if len(f.Services) > maxServices {
		return controller.Config{}, fmt.Errorf("%s:\nservice: found %d tables, expected at most %d",
			path, len(f.Services), maxServices)
	}
	f.setDefaults()
	var found problems
	config := f.config(&found)
	if len(found) > 0 {
		return controller.Config{}, fmt.Errorf("%s:\n%w", path, errors.Join(found...))
	}
	return config, nil
}

func (f *file) setDefaults() {
	hostname, _ := os.Hostname()
	tomlfile.Default(&f.Identity, hostname)
	tomlfile.Default(&f.API.Namespace, defaultNamespace)
	tomlfile.Default(&f.Leader.Lease, defaultLeaseName)
	tomlfile.Default(&f.Leader.LeaseDuration, tomlfile.Duration(defaultLeaseDuration))
	tomlfile.Default(&f.Record.MaxClients, defaultMaxRecordClients)
	for i := range f.Services {
		tomlfile.Default(&f.Services[i].Service, f.Services[i].Name)
	}
}

// config returns the controller's configuration, and appends the errors in the file to found. It opens the store of the
// record.
func (f *file) config(found *problems) controller.Config {
	config := controller.Config{
		Namespace:        f.API.Namespace,
		Identity:         f.Identity,
		LeaseName:        f.Leader.Lease,
		LeaseDuration:    f.Leader.LeaseDuration.Std(),
		StatusAddress:    f.Status,
		Keys:             f.Keys,
		RecordAddress:    f.Record.Listen,
		MaxRecordClients: f.Record.MaxClients,
	}
	if err := f.Keys.Validate(); err != nil {
		found.add("keys: %w", err)
	}
	if f.Record.Store != "" {
		recordStore, err := sqlstore.OpenExisting(f.Record.Store)
		if err != nil {
			found.add("record.store: %w", err)
		}
		config.Store = recordStore
	}
	f.Record.check(f.Keys.Enabled(), found)
	config.Membership = f.Membership.config(found)
	config.Fanout = f.Fanout.config(found)
	if config.LeaseDuration < minLeaseDuration {
		found.add("leader.hold: %v is below the minimum of %v", config.LeaseDuration, minLeaseDuration)
	}
	config.Services = serviceConfigs(f.Services, found)
	if f.Status != "" {
		found.checkAddress("status", f.Status)
	}
	config.API = f.API.config(found)
	return config
}

// check appends the errors in the table to found. Any client that can connect to the listen address may write drains,
// so without keys the address must be a loopback address.
func (t *recordTable) check(keysEnabled bool, found *problems) {
	if t.Listen != "" {
		found.checkAddress("record.listen", t.Listen)
		if t.Store == "" {
			found.add("record.listen is set, but record.store is missing")
		}
		host, _, err := net.SplitHostPort(t.Listen)
		if err == nil && !keysEnabled && !isLoopback(host) {
			found.add("record.listen: without [keys] expected a loopback address, found %s", host)
		}
	}
	if t.MaxClients < 0 {
		found.add("record.callers: %d must not be negative", t.MaxClients)
	}
}

func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

func (t *membershipTable) config(found *problems) membership.Config {
	config := membership.DefaultConfig()
	setSeconds(&config.FlapDelay, t.FlapDelay)
	setSeconds(&config.MaxFlapDelay, t.MaxFlapDelay)
	setFraction(&config.MaxShrinkFraction, t.MaxShrinkFraction)
	setSeconds(&config.ShrinkHold, t.ShrinkHold)
	setSeconds(&config.ForgetAfter, t.ForgetAfter)
	setSeconds(&config.SlowStartDuration, t.SlowStartDuration)
	setFraction(&config.MaxSlowStartFraction, t.MaxSlowStartFraction)
	config.DrainCordoned = t.DrainCordoned
	if err := config.Validate(); err != nil {
		found.add("membership: %w", err)
	}
	return config
}

func setSeconds(target *float64, value *tomlfile.Duration) {
	if value != nil {
		*target = value.Std().Seconds()
	}
}

func setFraction(target, value *float64) {
	if value != nil {
		*target = *value
	}
}

func (t *fanoutTable) config(found *problems) fanout.Config {
	config := fanout.DefaultConfig()
	if t.History > 0 {
		config.History = t.History
	}
	if t.MaxWatchers > 0 {
		config.MaxWatchers = t.MaxWatchers
	}
	if t.History < 0 || t.MaxWatchers < 0 {
		found.add("fanout: history %d and watchers %d must not be negative", t.History, t.MaxWatchers)
	}
	return config
}

func serviceConfigs(tables []serviceTable, found *problems) []controller.Service {
	if len(tables) == 0 {
		found.add("service: found no [[service]] table, expected at least one")
	}
	names, services, addresses := map[string]bool{}, map[string]bool{}, map[string]bool{}
	var configs []controller.Service
	for i, table := range tables {
		key := fmt.Sprintf("service[%d]", i+1)
		if table.Name == "" {
			found.add("%s.name is missing", key)
		}
		found.checkUnused(names, key+".name", table.Name)
		found.checkUnused(services, key+".service", table.Service)
		found.checkUnused(addresses, key+".listen", table.Listen)
		found.checkAddress(key+".listen", table.Listen)
		configs = append(configs, controller.Service{
			ListName:    table.Name,
			ServiceName: table.Service,
			Port:        table.Port,
			Listen:      table.Listen,
		})
	}
	return configs
}

// checkUnused adds a problem if a value is already in used, and adds the value to used.
func (p *problems) checkUnused(used map[string]bool, key, value string) {
	if used[value] {
		p.add("%s: %s is used twice", key, value)
	}
	used[value] = true
}
