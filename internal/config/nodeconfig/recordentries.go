package nodeconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"robincart/internal/record/record"
	"robincart/internal/system/tomlfile"
)

// tomlValue is the value of a service's or a route's entry. TOML is the text that a configuration file would contain.
type tomlValue struct {
	TOML string `json:"toml"`
}

// tenantValue is the value of a tenant's entry.
type tenantValue struct {
	Quota  float64 `json:"quota"`
	Weight float64 `json:"weight"`
}

// parsedEntry is a parsed entry of the record. For the entry of a service, a route or a tenant, only the field of that
// kind is set. For an entry of any other kind, all fields are nil.
type parsedEntry struct {
	service *Service
	route   *Route
	tenant  *Tenant
}

func parseEntry(entry record.Entry) (parsedEntry, error) {
	switch entry.Kind {
	case record.KindService, record.KindRoute:
		return parseTOMLEntry(entry)
	case record.KindTenant:
		return parseTenantEntry(entry)
	default:
		return parsedEntry{}, nil
	}
}

func parseTOMLEntry(entry record.Entry) (parsedEntry, error) {
	var value tomlValue
	if err := json.Unmarshal(entry.Value, &value); err != nil {
		return parsedEntry{}, err
	}
	var tables struct {
		Service []Service `toml:"service"`
		Route   []Route   `toml:"route"`
	}
	if err := tomlfile.Decode([]byte(value.TOML), &tables); err != nil {
		return parsedEntry{}, err
	}
	if len(tables.Service)+len(tables.Route) == 1 {
		if entry.Kind == record.KindService && len(tables.Service) == 1 && tables.Service[0].Name == entry.Name {
			return parsedEntry{service: &tables.Service[0]}, nil
		}
		if entry.Kind == record.KindRoute && len(tables.Route) == 1 && tables.Route[0].Name == entry.Name {
			return parsedEntry{route: &tables.Route[0]}, nil
		}
	}
	return parsedEntry{}, fmt.Errorf("it has to be one [[%s]] of that name", entry.Kind)
}

func parseTenantEntry(entry record.Entry) (parsedEntry, error) {
	var value tenantValue
	err := json.Unmarshal(entry.Value, &value)
	valid := value.Quota >= 0 && value.Weight >= 0 // false for NaN
	if err != nil || !valid {
		return parsedEntry{}, errors.Join(err,
			fmt.Errorf("expected a quota and a weight of 0 or more, found %v and %v", value.Quota, value.Weight))
	}
	_, name := splitTenantName(entry.Name)
	return parsedEntry{tenant: &Tenant{Name: name, Quota: value.Quota, Weight: value.Weight}}, nil
}

// splitTenantName splits the name of a tenant's entry, SERVICE/TENANT.
func splitTenantName(entryName string) (service, tenant string) {
	service, tenant, _ = strings.Cut(entryName, "/")
	return service, tenant
}

// ValidateEntry checks the entry of a service, a route or a tenant by itself. WithRecord checks that the entry is
// consistent with the other entries and the file.
func ValidateEntry(entry record.Entry) error {
	_, err := parseEntry(entry)
	return err
}
