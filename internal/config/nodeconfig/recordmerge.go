package nodeconfig

import (
	"cmp"
	"slices"

	"robincart/internal/record/record"
)

// RecordMerge is the result of merging the record into a configuration.
type RecordMerge struct {
	Config  *Config
	InForce []record.Entry         // the entries that Config contains, sorted by kind and name
	Invalid []*record.InvalidEntry // the entries that Config does not contain as recorded, sorted by kind and name
	Lost    []*record.InvalidEntry // the invalid entries of which a version was in force before, and now none is
	Changed bool                   // Config contains other entries than those that were in force before
}

// WithRecord merges the record's services, routes and tenants into the configuration. Each of them is added to the
// file, and replaces a service, route or tenant of the same name in the file.
//
// An entry that is invalid by itself, or does not fit the file or the other entries, does not affect entries that fit:
// the version of it that was in force stays, or else the entry is left out. Of two entries that contradict each other,
// the one that is in force takes precedence over the one that is not, then an entry of which an earlier version is in
// force over a new entry, then the lower revision.
func (c *Config) WithRecord(configuration record.Configuration) *RecordMerge {
	m := newRecordMerger(c, configuration)
	if len(m.items) == 0 {
		return &RecordMerge{Config: c}
	}
	for steps := 0; ; steps++ {
		merged, err := m.build()
		switch {
		case err == nil && steps > 1:
			return m.result(m.retry(merged))
		case err == nil:
			return m.result(merged)
		case !m.stepBack(err): // no version of any entry is left
			return m.result(c)
		}
	}
}

// maxRetries limits how many entries are tried again, each with a compilation of the whole configuration.
const maxRetries = 16

// retry uses the recorded version of each item whose version does fit. An item may have stepped back because of another
// one that has stepped back later. merged is the configuration with the versions in use.
func (m *recordMerger) retry(merged *Config) *Config {
	retries := 0
	for _, kind := range []record.Kind{record.KindService, record.KindTenant, record.KindRoute} {
		for _, item := range m.byPrecedence(kind) {
			if item.current == 0 || item.unusable || retries == maxRetries {
				continue
			}
			retries++
			inUse := item.current
			item.current = 0
			if retried, err := m.build(); err == nil {
				merged = retried
				continue
			}
			item.current = inUse
		}
	}
	return merged
}

// mergedVersion is one version of a recorded service, route or tenant that the merge may use.
type mergedVersion struct {
	entry   record.Entry
	parsed  parsedEntry // empty if the version is a deletion
	inForce bool        // the version is in force already
}

// mergedItem is a service, route or tenant of the record.
type mergedItem struct {
	key      record.Key
	versions []mergedVersion // in the order of preference: as recorded, then the one in force
	current  int             // index of the version in use; len(versions): none
	cause    error           // why the first version is not in use
	unused   bool            // a tenant whose service does not exist

	unusable bool // the first version can't be used, whatever the other items are
}

// recordMerger looks for the versions of the record's entries that fit the file and each other. It begins with all
// entries as recorded, and replaces those that errors of the compiled configuration are about, until there is no error.
type recordMerger struct {
	file  *Config
	items []*mergedItem // sorted by kind and name
	byKey map[record.Key]*mergedItem

	// Set by build, for the errors of the configuration that it has compiled:
	merged       *Config
	serviceItems []*mergedItem   // by index of the service; nil: the service is the file's
	routeItems   []*mergedItem   // by index of the route; nil: the route is the file's
	tenantItems  [][]*mergedItem // by index of the service and of the tenant; nil: the tenant is the service's own
}

func newRecordMerger(file *Config, configuration record.Configuration) *recordMerger {
	m := &recordMerger{file: file, byKey: map[record.Key]*mergedItem{}}
	inForce := map[record.Key]record.Entry{}
	for _, entry := range configuration.InForce {
		inForce[entry.Key] = entry
	}
	for _, entry := range configuration.Recorded {
		item := m.add(entry.Key)
		before, known := inForce[entry.Key]
		item.addVersion(entry, known && entry.SameConfiguration(before))
	}
	for _, entry := range configuration.InForce {
		item := m.byKey[entry.Key]
		if item == nil { // deleted from the record
			item = m.add(entry.Key)
			item.addVersion(record.Entry{Key: entry.Key, Deleted: true}, false)
		}
		if !item.versions[0].inForce {
			item.addVersion(entry, true)
		}
	}
	slices.SortFunc(m.items, func(a, b *mergedItem) int { return compareKeys(a.key, b.key) })
	for _, item := range m.items {
		item.skipMalformed()
		item.skipLostScope()
	}
	return m
}

func (m *recordMerger) add(key record.Key) *mergedItem {
	item := &mergedItem{key: key}
	m.items = append(m.items, item)
	m.byKey[key] = item
	return item
}

func compareKeys(a, b record.Key) int {
	byKind := cmp.Compare(slices.Index(record.Kinds, a.Kind), slices.Index(record.Kinds, b.Kind))
	return cmp.Or(byKind, cmp.Compare(a.Name, b.Name))
}

func (i *mergedItem) addVersion(entry record.Entry, inForce bool) {
	i.versions = append(i.versions, mergedVersion{entry: entry, inForce: inForce})
}

// skipMalformed parses all versions, and steps back from those that can't be parsed.
func (i *mergedItem) skipMalformed() {
	for n := range i.versions {
		version := &i.versions[n]
		if version.entry.Deleted {
			continue
		}
		parsed, err := parseEntry(version.entry)
		version.parsed = parsed
		if err != nil && i.current == n {
			i.unusable = i.unusable || n == 0
			i.stepBack(err)
		}
	}
}

// skipLostScope steps back from a service of which a method has lost the scope that it has in force.
func (i *mergedItem) skipLostScope() {
	next, inForce := i.version().parsed.service, i.versions[len(i.versions)-1].parsed.service
	if i.current > 0 || !i.wasInForce() || next == nil || inForce == nil {
		return
	}
	p := &problems{prefix: "service"}
	next.checkScopes(inForce, p)
	if err := p.err(); err != nil {
		i.unusable = true
		i.stepBack(err)
	}
}

// stepBack replaces the version in use by the next one. cause is the reason.
func (i *mergedItem) stepBack(cause error) {
	if i.cause == nil {
		i.cause = cause
	}
	i.current++
}

// version returns the version in use, or a deletion if none is.
func (i *mergedItem) version() *mergedVersion {
	if i.current < len(i.versions) {
		return &i.versions[i.current]
	}
	return &mergedVersion{entry: record.Entry{Key: i.key, Deleted: true}}
}

// wasInForce reports whether a version of the item is in force already. It is the last version.
func (i *mergedItem) wasInForce() bool { return i.versions[len(i.versions)-1].inForce }

// precedence is the order in which items contradict each other: the later of two is the one that does not fit.
type precedence int

const (
	precedenceInForce precedence = iota // the version in use is in force already
	precedenceChanged                   // another version is in force
	precedenceNew                       // no version is in force
)

func (i *mergedItem) precedence() precedence {
	switch {
	case i.version().inForce:
		return precedenceInForce
	case i.wasInForce():
		return precedenceChanged
	}
	return precedenceNew
}

// byPrecedence returns the items of a kind, those that others have to fit first.
func (m *recordMerger) byPrecedence(kind record.Kind) []*mergedItem {
	var items []*mergedItem
	for _, item := range m.items {
		if item.key.Kind == kind {
			items = append(items, item)
		}
	}
	slices.SortStableFunc(items, func(a, b *mergedItem) int {
		byRevision := cmp.Compare(a.version().entry.Revision, b.version().entry.Revision)
		return cmp.Or(cmp.Compare(a.precedence(), b.precedence()), byRevision)
	})
	return items
}

// build compiles the file with the versions in use.
func (m *recordMerger) build() (*Config, error) {
	m.merged = &Config{File: m.file.File}
	m.mergeServices()
	m.mergeTenants()
	m.mergeRoutes()
	m.merged.setDefaults()
	if err := m.merged.compile(); err != nil {
		return nil, err
	}
	return m.merged, nil
}

// mergeServices replaces services of the file in place, so that the order of the services does not depend on revisions.
func (m *recordMerger) mergeServices() {
	m.merged.Services = slices.Clone(m.file.Services)
	m.serviceItems = make([]*mergedItem, len(m.merged.Services))
	for _, item := range m.items {
		service := item.version().parsed.service
		if service == nil {
			continue
		}
		if i := m.merged.findService(service.Name); i >= 0 {
			m.merged.Services[i], m.serviceItems[i] = *service, item
			continue
		}
		m.merged.Services = append(m.merged.Services, *service)
		m.serviceItems = append(m.serviceItems, item)
	}
}

// mergeTenants adds the tenants to their services, in the order of their names: a service whose tenants change their
// order would be started anew. Tenants of unknown services are unused.
func (m *recordMerger) mergeTenants() {
	m.tenantItems = make([][]*mergedItem, len(m.merged.Services))
	for _, item := range m.items {
		tenant := item.version().parsed.tenant
		if tenant == nil {
			continue
		}
		name, _ := splitTenantName(item.key.Name)
		i := m.merged.findService(name)
		item.unused = i < 0
		if item.unused {
			continue
		}
		service := &m.merged.Services[i]
		if m.tenantItems[i] == nil { // the service's own tenants may be shared with the file
			service.Tenants = slices.Clone(service.Tenants)
			m.tenantItems[i] = make([]*mergedItem, len(service.Tenants))
		}
		sameName := func(t Tenant) bool { return t.Name == tenant.Name }
		if n := slices.IndexFunc(service.Tenants, sameName); n >= 0 {
			service.Tenants[n], m.tenantItems[i][n] = *tenant, item
			continue
		}
		service.Tenants = append(service.Tenants, *tenant)
		m.tenantItems[i] = append(m.tenantItems[i], item)
	}
}

// mergeRoutes adds the routes after the file's, by their precedence: of two routes that contradict each other, the
// error is about the later one. The order has no other effect.
func (m *recordMerger) mergeRoutes() {
	replaced := func(r Route) bool {
		item := m.byKey[record.Key{Kind: record.KindRoute, Name: r.Name}]
		return item != nil && item.version().parsed.route != nil
	}
	m.merged.Routes = slices.DeleteFunc(slices.Clone(m.file.Routes), replaced)
	m.routeItems = make([]*mergedItem, len(m.merged.Routes))
	for _, item := range m.byPrecedence(record.KindRoute) {
		if route := item.version().parsed.route; route != nil {
			m.merged.Routes = append(m.merged.Routes, *route)
			m.routeItems = append(m.routeItems, item)
		}
	}
}

// findService returns the index of a service, or -1 if there is none of that name.
func (c *Config) findService(name string) int {
	return slices.IndexFunc(c.Services, func(s Service) bool { return s.Name == name })
}

// result returns the result of the merge, after build has returned the configuration.
func (m *recordMerger) result(merged *Config) *RecordMerge {
	result := &RecordMerge{Config: merged}
	for _, item := range m.items {
		version := item.version()
		inForce := !version.entry.Deleted && !item.unused
		if inForce {
			result.InForce = append(result.InForce, version.entry)
		}
		unchanged := inForce && version.inForce || !inForce && !item.wasInForce()
		result.Changed = result.Changed || !unchanged
		if item.current == 0 {
			continue
		}
		invalid := &record.InvalidEntry{
			Key:             item.key,
			Revision:        item.versions[0].entry.Revision,
			InForceRevision: version.entry.Revision,
			Cause:           item.cause,
		}
		result.Invalid = append(result.Invalid, invalid)
		if version.entry.Deleted && item.wasInForce() { // a valid deletion is not among the invalid items
			result.Lost = append(result.Lost, invalid)
		}
	}
	return result
}
