package nodeconfig

import (
	"errors"
	"fmt"
	"strings"

	"robincart/internal/core/routes"
	"robincart/internal/record/record"
	"robincart/internal/resources/quota"
)

// stepBack replaces the versions that the errors of a configuration are about. An error may be the consequence of
// another one, such as an unknown service of a service that is invalid. So only the errors of the first step of the
// compilation that has errors count: services, shares, routes, then the table of routes. A route that leads to no
// service is in the table all the same.
//
// It returns false if no version is left to step back from.
func (m *recordMerger) stepBack(err error) bool {
	mistakes := splitErrors(err)
	steps := []func([]error) int{m.stepBackServices, m.stepBackShares, m.stepBackRoutes, m.stepBackTable}
	for _, step := range steps {
		if step(mistakes) > 0 {
			return true
		}
	}
	return m.stepBackLast(err)
}

// stepBackLast steps back from the item with the lowest precedence. It is for errors that are about no single entry.
func (m *recordMerger) stepBackLast(err error) bool {
	for _, kind := range []record.Kind{record.KindRoute, record.KindTenant, record.KindService} {
		items := m.byPrecedence(kind)
		for n := len(items) - 1; n >= 0; n-- {
			if items[n].current < len(items[n].versions) {
				items[n].stepBack(err)
				return true
			}
		}
	}
	return false
}

// splitMistake returns the key that a mistake is about, and the text after the number of the service or the route,
// which is the number in the merged configuration and means nothing to a reader.
func splitMistake(mistake error) (keyPath, error) {
	var rule *routes.RuleError
	text := mistake.Error()
	key, _, _ := strings.Cut(text, ":")
	switch _, afterNumber, numbered := strings.Cut(text, "]"); {
	case errors.As(mistake, &rule):
		return parseKeyPath(key), rule.Cause
	case numbered && strings.Contains(key, "]"):
		return parseKeyPath(key), errors.New(strings.TrimLeft(afterNumber, ".: "))
	}
	return parseKeyPath(key), mistake
}

// stepBackServices steps back from the services and tenants that mistakes are about, and returns their number.
func (m *recordMerger) stepBackServices(mistakes []error) int {
	faults := map[*mergedItem]error{}
	for _, mistake := range mistakes {
		path, cause := splitMistake(mistake)
		number := path.indices["service"]
		switch {
		case number > 0:
			addFault(faults, m.serviceFault(number-1, path), cause)
		case path.leaf == "service":
			m.addExcess(faults, record.KindService, len(m.merged.Services)-maxServices, cause)
		}
	}
	return stepBackAll(faults)
}

// serviceFault returns the item that a mistake in a service is about.
func (m *recordMerger) serviceFault(index int, path keyPath) *mergedItem {
	tenants := m.tenantItems[index]
	if number := path.indices["service.tenant"]; number > 0 && number <= len(tenants) && tenants[number-1] != nil {
		return tenants[number-1]
	}
	if path.leaf == "tenant" { // there are too many
		if last := lastOf(m.byPrecedence(record.KindTenant), tenants); last != nil {
			return last
		}
	}
	return m.serviceItems[index]
}

// lastOf returns the last item of a list that is in a set of items, or nil.
func lastOf(list, set []*mergedItem) *mergedItem {
	inSet := map[*mergedItem]bool{}
	for _, item := range set {
		inSet[item] = true
	}
	for n := len(list) - 1; n >= 0; n-- {
		if inSet[list[n]] {
			return list[n]
		}
	}
	return nil
}

// addExcess adds faults for the last items of a kind, as many as there are too many.
func (m *recordMerger) addExcess(faults map[*mergedItem]error, kind record.Kind, excess int, cause error) {
	items := m.byPrecedence(kind)
	for n := len(items) - 1; n >= 0 && excess > 0; n-- {
		if !items[n].version().entry.Deleted {
			addFault(faults, items[n], cause)
			excess--
		}
	}
}

// stepBackShares steps back from the services and tenants whose shares are invalid, and from the services whose
// guarantees exceed what the services before them leave.
func (m *recordMerger) stepBackShares(mistakes []error) int {
	faults := map[*mergedItem]error{}
	for _, mistake := range mistakes {
		path, cause := splitMistake(mistake)
		if path.leaf != "sharing" {
			continue
		}
		m.addShareFaults(faults)
		if len(faults) == 0 {
			m.addGuaranteeFaults(faults, cause)
		}
	}
	return stepBackAll(faults)
}

// addShareFaults adds faults for services and tenants whose shares are invalid by themselves.
func (m *recordMerger) addShareFaults(faults map[*mergedItem]error) {
	for i := range m.merged.Services {
		service := &m.merged.Services[i]
		own := service.quotaSpec()
		own.Tenants = nil
		addFault(faults, m.serviceItems[i], quota.Validate(m.merged.Quota, []quota.Spec{own}))
		for n, tenant := range service.Tenants {
			single := quota.Spec{Name: service.Name, Weight: 1, Tenants: []float64{tenant.Weight}}
			err := quota.Validate(m.merged.Quota, []quota.Spec{single})
			if n < len(m.tenantItems[i]) && m.tenantItems[i][n] != nil {
				addFault(faults, m.tenantItems[i][n], err)
				continue
			}
			addFault(faults, m.serviceItems[i], err)
		}
	}
}

// addGuaranteeFaults adds faults for the services that raise the sum of the guarantees above the maximum.
func (m *recordMerger) addGuaranteeFaults(faults map[*mergedItem]error, cause error) {
	specs := make([]quota.Spec, len(m.merged.Services))
	for i := range m.merged.Services {
		specs[i] = m.merged.Services[i].quotaSpec()
		item := m.byKey[record.Key{Kind: record.KindService, Name: specs[i].Name}]
		if item != nil {
			specs[i].Guarantee = min(specs[i].Guarantee, m.lowestGuarantee(item))
		}
	}
	for _, item := range m.byPrecedence(record.KindService) {
		i := m.merged.findService(item.key.Name)
		if i < 0 || item.current == len(item.versions) {
			continue
		}
		lowest := specs[i].Guarantee
		specs[i].Guarantee = m.merged.Services[i].Guarantee
		if quota.Validate(m.merged.Quota, specs) != nil {
			specs[i].Guarantee = lowest
			addFault(faults, item, cause)
		}
	}
}

// lowestGuarantee returns the lowest guarantee that a service can have after its item has stepped back.
func (m *recordMerger) lowestGuarantee(item *mergedItem) float64 {
	lowest := m.fileGuarantee(item)
	for _, version := range item.versions[item.current:] {
		if version.parsed.service != nil {
			lowest = min(lowest, version.parsed.service.Guarantee)
		}
	}
	return lowest
}

// fileGuarantee returns the guarantee that a service has without the record.
func (m *recordMerger) fileGuarantee(item *mergedItem) float64 {
	if i := m.file.findService(item.key.Name); i >= 0 {
		return m.file.Services[i].Guarantee
	}
	return 0
}

// stepBackRoutes steps back from the routes that mistakes are about which are not about the table, and returns their
// number.
func (m *recordMerger) stepBackRoutes(mistakes []error) int {
	faults := map[*mergedItem]error{}
	for _, mistake := range mistakes {
		path, cause := splitMistake(mistake)
		number := path.indices["route"]
		switch {
		case isTableMistake(mistake):
		case number > 0:
			item, cause := m.routeFault(number-1, path, cause)
			addFault(faults, item, cause)
		case path.leaf == "route" && len(m.merged.Routes) > maxRoutes:
			m.addExcess(faults, record.KindRoute, len(m.merged.Routes)-maxRoutes, cause)
		case path.leaf == "route":
			m.addFaultsWithoutRoutes(faults, cause)
		}
	}
	return stepBackAll(faults)
}

// stepBackTable steps back from the routes that do not fit into the table, and returns their number.
func (m *recordMerger) stepBackTable(mistakes []error) int {
	faults := map[*mergedItem]error{}
	for _, mistake := range mistakes {
		path, cause := splitMistake(mistake)
		if number := path.indices["route"]; number > 0 && isTableMistake(mistake) {
			item, cause := m.tableFault(number-1, cause)
			addFault(faults, item, cause)
		}
	}
	return stepBackAll(faults)
}

func isTableMistake(mistake error) bool { return errors.As(mistake, new(*routes.RuleError)) }

// addFaultsWithoutRoutes adds faults if there are several services and no route: for the deletions of routes that are
// in force, or else for the services that the file does not have.
func (m *recordMerger) addFaultsWithoutRoutes(faults map[*mergedItem]error, cause error) {
	for _, item := range m.byPrecedence(record.KindRoute) {
		if m.deletion(record.KindRoute, item.key.Name) != nil {
			addFault(faults, item, cause)
		}
	}
	if len(faults) > 0 {
		return
	}
	for _, item := range m.serviceItems[len(m.file.Services):] {
		addFault(faults, item, cause)
	}
}

// routeFault returns the item that a mistake in a route is about, and the cause. It is the route, or the deletion of a
// service to which the version of the route leads that is in force.
func (m *recordMerger) routeFault(index int, path keyPath, cause error) (*mergedItem, error) {
	item := m.routeItems[index]
	if item == nil || path.leaf != "to" {
		return item, cause
	}
	for _, target := range item.inForceTargets() {
		service := m.deletion(record.KindService, target)
		if service != nil && m.merged.findService(target) < 0 {
			return service, fmt.Errorf("route %s leads to it", item.key.Name)
		}
	}
	return item, cause
}

// tableFault returns the item on account of which a route does not fit into the table, and the cause. It is the route,
// or, if the route is in force, the deletion of a route in whose place the file's route of that name has come back.
func (m *recordMerger) tableFault(index int, cause error) (*mergedItem, error) {
	item := m.routeItems[index]
	var same *routes.SameRequestsError
	if item == nil || !item.version().inForce || !errors.As(cause, &same) {
		return item, cause
	}
	if deletion := m.deletion(record.KindRoute, same.Other); deletion != nil {
		cause = fmt.Errorf("the file's route of that name matches the same requests as route %s", item.key.Name)
		return deletion, cause
	}
	return item, cause
}

// deletion returns an item whose version in use is a deletion, or nil if there is none of that kind and name.
func (m *recordMerger) deletion(kind record.Kind, name string) *mergedItem {
	item := m.byKey[record.Key{Kind: kind, Name: name}]
	if item == nil || item.current == len(item.versions) || !item.version().entry.Deleted {
		return nil
	}
	return item
}

// inForceTargets returns the services to which the version of a route that is in force leads.
func (i *mergedItem) inForceTargets() []string {
	last := &i.versions[len(i.versions)-1]
	if !i.wasInForce() || last.parsed.route == nil {
		return nil
	}
	targets := []string{last.parsed.route.To}
	for _, split := range last.parsed.route.Split {
		targets = append(targets, split.To)
	}
	return targets
}

// addFault adds a fault, unless there is no error, the item is nil or it has a fault already.
func addFault(faults map[*mergedItem]error, item *mergedItem, cause error) {
	if item == nil || cause == nil || faults[item] != nil {
		return
	}
	faults[item] = cause
}

// stepBackAll steps back from all items with faults, and returns their number.
func stepBackAll(faults map[*mergedItem]error) int {
	for item, cause := range faults {
		item.stepBack(cause)
	}
	return len(faults)
}
