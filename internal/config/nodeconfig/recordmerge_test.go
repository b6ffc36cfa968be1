package nodeconfig

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"robincart/internal/record/record"
)

const mergeFile = `
listen = ["127.0.0.1:3000"]
[[service]]
name = "booking"
servers = ["127.0.0.1:3001"]
guarantee = 0.3
  [[service.method]]
  name = "find"
  deadline = "3s"
[[service]]
name = "tables"
servers = ["127.0.0.1:3002"]
  [[service.method]]
  name = "find"
  deadline = "3s"
[[route]]
name = "default"
to = "booking"
`

func parseFile(t require.TestingT, text string) *Config {
	config, err := Parse([]byte(text), 0)
	require.NoError(t, err)
	return config
}

func tomlEntry(kind record.Kind, name string, revision int64, text string) record.Entry {
	value, _ := json.Marshal(tomlValue{TOML: text})
	return record.Entry{Key: record.Key{Kind: kind, Name: name}, Revision: revision, Value: value}
}

func routeEntry(name string, revision int64, host, to string) record.Entry {
	text := fmt.Sprintf("[[route]]\nname = %q\nhost = %q\nto = %q\n", name, host, to)
	return tomlEntry(record.KindRoute, name, revision, text)
}

// routeTable returns a route of a file.
func routeTable(name, host string) string {
	return fmt.Sprintf("[[route]]\nname = %q\nhost = %q\nto = \"booking\"\n", name, host)
}

func serviceEntry(name string, revision int64, guarantee float64) record.Entry {
	text := fmt.Sprintf("[[service]]\nname = %q\nservers = [\"127.0.0.1:3009\"]\nguarantee = %v\n"+
		"[[service.method]]\nname = \"find\"\ndeadline = \"3s\"\n", name, guarantee)
	return tomlEntry(record.KindService, name, revision, text)
}

// scopedServiceEntry returns the entry of a service with a deduplicated method; without a scope if that is empty.
func scopedServiceEntry(name string, revision int64, scope string) record.Entry {
	return tomlEntry(record.KindService, name, revision, scopedService(name, scope))
}

func scopedService(name, scope string) string {
	text := fmt.Sprintf("[[service]]\nname = %q\nservers = [\"127.0.0.1:3009\"]\n[[service.method]]\nname = \"book\"\n"+
		"deadline = \"3s\"\nrepeat = \"deduplicated\"\nwindow = \"10s\"\n", name)
	if scope == "" {
		return text
	}
	return text + fmt.Sprintf("scope = %q\n", scope)
}

func tenantEntry(name string, revision int64, weight float64) record.Entry {
	value, _ := json.Marshal(tenantValue{Quota: 10, Weight: weight})
	return record.Entry{Key: record.Key{Kind: record.KindTenant, Name: name}, Revision: revision, Value: value}
}

// names returns the entries as "name@revision".
func names(entries []record.Entry) []string {
	var all []string
	for _, entry := range entries {
		all = append(all, fmt.Sprintf("%s@%d", entry.Name, entry.Revision))
	}
	return all
}

// errorTexts returns the errors of invalid entries.
func errorTexts(invalid []*record.InvalidEntry) []string {
	var all []string
	for _, entry := range invalid {
		all = append(all, entry.Error())
	}
	return all
}

// An entry that does not fit leaves all others in force, and its own version that is in force.
func TestWithRecord_InvalidEntryAffectsNoOther(t *testing.T) {
	lunch := routeEntry("lunch", 1, "lunch.example.org", "tables")
	night := routeEntry("night", 2, "night.example.org", "tables")
	evening := routeEntry("evening", 3, "night.example.org", "booking")
	type entries = []record.Entry
	for name, test := range map[string]struct {
		file              string // in place of mergeFile, unless empty
		recorded, inForce entries
		want              []string
		invalid           []string
	}{
		"first start: the lower revision": {
			recorded: entries{evening, night, lunch},
			want:     []string{"lunch@1", "night@2"},
			invalid:  []string{"route evening, revision 3: it matches the same requests as route night"},
		},
		"the route in force, also where another has a lower revision": {
			recorded: entries{lunch, routeEntry("night", 9, "night.example.org", "booking"), evening},
			inForce:  entries{lunch, night},
			want:     []string{"lunch@1", "night@9"},
			invalid:  []string{"route evening, revision 3: it matches the same requests as route night"},
		},
		"a change that contradicts a route in force": {
			recorded: entries{lunch, routeEntry("night", 9, "lunch.example.org", "booking")},
			inForce:  entries{lunch, night},
			want:     []string{"lunch@1", "night@2"},
			invalid:  []string{"route night, revision 9: it matches the same requests as route lunch"},
		},
		"two routes that exchange their hosts, beside an invalid one": {
			recorded: entries{routeEntry("lunch", 8, "night.example.org", "tables"),
				routeEntry("night", 9, "lunch.example.org", "tables"), routeEntry("tea", 7, "Tea", "tables")},
			inForce: entries{lunch, night},
			want:    []string{"lunch@8", "night@9"},
			invalid: []string{`route tea, revision 7: host "Tea": expected the canonical form "tea", without a port`},
		},
		"text that is no TOML": {
			recorded: entries{lunch, tomlEntry(record.KindRoute, "night", 9, "[[route"), evening},
			inForce:  entries{lunch, night},
			want:     []string{"lunch@1", "night@2"},
			invalid:  []string{"route evening, revision 3: it matches", "route night, revision 9: "},
		},
		"an unknown service, which is recorded later": {
			recorded: entries{routeEntry("tea", 1, "tea.example.org", "kitchen"), serviceEntry("kitchen", 5, 0.1)},
			want:     []string{"kitchen@5", "tea@1"},
		},
		"a route to an invalid service": {
			recorded: entries{lunch, routeEntry("tea", 2, "tea.example.org", "kitchen"), serviceEntry("kitchen", 3, 2)},
			want:     []string{"lunch@1"},
			invalid: []string{"service kitchen, revision 3: service kitchen: guarantee is 2",
				`route tea, revision 2: to: there is no service "kitchen"`},
		},
		"a deleted service to which a route leads": {
			recorded: entries{routeEntry("tea", 2, "tea.example.org", "kitchen")},
			inForce:  entries{serviceEntry("kitchen", 1, 0.1), routeEntry("tea", 2, "tea.example.org", "kitchen")},
			want:     []string{"kitchen@1", "tea@2"},
			invalid:  []string{"service kitchen, deleted: route tea leads to it"},
		},
		"a deleted service and its deleted route": {
			recorded: entries{lunch},
			inForce:  entries{serviceEntry("kitchen", 3, 0.1), routeEntry("tea", 2, "tea.example.org", "kitchen"), lunch},
			want:     []string{"lunch@1"},
		},
		"a deleted route in whose place the file's comes back": {
			file:     mergeFile + routeTable("noon", "lunch.example.org"),
			recorded: entries{lunch},
			inForce:  entries{routeEntry("noon", 5, "noon.example.org", "tables"), lunch},
			want:     []string{"lunch@1", "noon@5"},
			invalid:  []string{"route noon, deleted: the file's route of that name matches the same requests as route lunch"},
		},
		"a deleted service in whose place the file's comes back with a higher guarantee": {
			recorded: entries{serviceEntry("a", 2, 0.9)},
			inForce:  entries{serviceEntry("a", 2, 0.9), serviceEntry("booking", 1, 0)},
			want:     []string{"a@2", "booking@1"},
			invalid:  []string{"service booking, deleted: sharing: the guarantees add up to 1.200"},
		},
		"guarantees above the whole": {
			recorded: entries{serviceEntry("a", 1, 0.5), serviceEntry("b", 2, 0.4), serviceEntry("c", 3, 0.1)},
			want:     []string{"a@1", "c@3"},
			invalid:  []string{"service b, revision 2: sharing: the guarantees add up to 1.300"},
		},
		"a higher guarantee of the service in force": {
			recorded: entries{serviceEntry("a", 4, 0.9), serviceEntry("c", 3, 0.1)},
			inForce:  entries{serviceEntry("a", 1, 0.5)},
			want:     []string{"a@1", "c@3"},
			invalid:  []string{"service a, revision 4: sharing: the guarantees add up to 1.300"},
		},
		"a tenant without a weight in range": {
			recorded: entries{tenantEntry("tables/a", 1, 1), tenantEntry("tables/b", 2, 1e12), lunch},
			want:     []string{"a@1", "lunch@1"},
			invalid:  []string{"tenant tables/b, revision 2: service tables: tenant 1: weight is 1e+12"},
		},
		"a service without a route, where the file has none": {
			file:     strings.Split(mergeFile, "[[service]]\nname = \"tables\"")[0],
			recorded: entries{serviceEntry("kitchen", 1, 0.1), tenantEntry("booking/a", 2, 1)},
			want:     []string{"a@2"},
			invalid:  []string{"service kitchen, revision 1: route: expected at least one for 2 services, found none"},
		},
		"a service that has lost a method's scope": {
			recorded: entries{scopedServiceEntry("kitchen", 2, "")},
			inForce:  entries{scopedServiceEntry("kitchen", 1, "zone")},
			want:     []string{"kitchen@1"},
			invalid: []string{"service kitchen, revision 2: service.method[1].scope: expected all, zone or cell for method book, " +
				"whose scope in force is zone; found none"},
		},
		"a service with a wider scope": {
			recorded: entries{scopedServiceEntry("kitchen", 2, "all")},
			inForce:  entries{scopedServiceEntry("kitchen", 1, "zone")},
			want:     []string{"kitchen@2"},
		},
		"an entry of an import has another revision": {
			recorded: entries{routeEntry("lunch", 7, "lunch.example.org", "tables"), evening},
			inForce:  entries{lunch},
			want:     []string{"evening@3", "lunch@7"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			file := parseFile(t, mergeFile)
			if test.file != "" {
				file = parseFile(t, test.file)
			}
			merge := file.WithRecord(record.Configuration{Recorded: test.recorded, InForce: test.inForce})
			inForce := names(merge.InForce)
			for i, name := range inForce {
				inForce[i] = name[strings.Index(name, "/")+1:]
			}
			assert.Equal(t, test.want, inForce)
			invalid := errorTexts(merge.Invalid)
			require.Len(t, invalid, len(test.invalid), "%q", invalid)
			for i, text := range test.invalid {
				assert.Contains(t, invalid[i], text)
			}
			assert.Empty(t, merge.Lost)
			again := file.WithRecord(record.Configuration{Recorded: test.recorded, InForce: merge.InForce})
			assert.False(t, again.Changed, "the result is stable")
			assert.Equal(t, merge.InForce, again.InForce)
			assert.Equal(t, invalid, errorTexts(again.Invalid))
		})
	}
}

// A file that no longer fits a route in force is told by its result, so that a reload can reject the file.
func TestWithRecord_FileThatPutsEntriesOutOfForce(t *testing.T) {
	lunch := routeEntry("lunch", 1, "lunch.example.org", "tables")
	file := parseFile(t, mergeFile+routeTable("noon", "lunch.example.org"))
	merge := file.WithRecord(record.Configuration{Recorded: []record.Entry{lunch}, InForce: []record.Entry{lunch}})
	assert.Equal(t, []string{"route lunch, revision 1: it matches the same requests as route noon"}, errorTexts(merge.Lost))
	merge = file.WithRecord(record.Configuration{Recorded: []record.Entry{lunch}})
	assert.Empty(t, merge.Lost)
	assert.Len(t, merge.Invalid, 1)
}

// mergeHistory is a series of random changes of a record with few names, so that many changes contradict each other.
type mergeHistory struct {
	t        *rapid.T
	revision int64
	recorded map[record.Key]record.Entry
}

func (h *mergeHistory) change() {
	h.revision++
	pick := func(label string, list ...string) string { return rapid.SampledFrom(list).Draw(h.t, label) }
	service := pick("service", "booking", "tables", "kitchen", "bar")
	entry := routeEntry(pick("name", "r1", "r2", "r3", "r4"), h.revision,
		pick("host", "a.example.org", "b.example.org", "c.example.org", "Not canonical"), service)
	switch rapid.IntRange(0, 5).Draw(h.t, "kind") {
	case 0:
		guarantee := rapid.SampledFrom([]float64{0, 0.2, 0.5, 0.8, 3}).Draw(h.t, "guarantee")
		entry = serviceEntry(service, h.revision, guarantee)
	case 1:
		weight := rapid.SampledFrom([]float64{0, 1, -1, 1e12}).Draw(h.t, "weight")
		entry = tenantEntry(service+"/"+pick("tenant", "x", "y"), h.revision, weight)
	case 2:
		entry.Value = json.RawMessage(`{"toml": "[["}`)
	}
	if rapid.IntRange(0, 3).Draw(h.t, "delete") == 0 {
		delete(h.recorded, entry.Key)
		return
	}
	h.recorded[entry.Key] = entry
}

func (h *mergeHistory) entries() []record.Entry {
	return record.SortEntries(slices.Collect(maps.Values(h.recorded)))
}

// Whatever is recorded, what is in force and still recorded stays in force, and one more merge changes nothing.
func TestWithRecord_EntriesInForceStayThroughAnyChanges(t *testing.T) {
	file := parseFile(t, mergeFile+routeTable("r1", "a.example.org")+routeTable("r9", "c.example.org"))
	rapid.Check(t, func(t *rapid.T) {
		history := &mergeHistory{t: t, recorded: map[record.Key]record.Entry{}}
		var inForce []record.Entry
		for range rapid.IntRange(1, 12).Draw(t, "pages") {
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				history.change()
			}
			recorded := history.entries()
			merge := file.WithRecord(record.Configuration{Recorded: recorded, InForce: inForce})
			require.Empty(t, merge.Lost)
			inForceNow := map[record.Key]record.Entry{}
			for _, entry := range merge.InForce {
				inForceNow[entry.Key] = entry
			}
			for _, before := range inForce {
				stillRecorded, ok := history.recorded[before.Key]
				now, isInForce := inForceNow[before.Key]
				unused := before.Kind == record.KindTenant && !isInForce // its service was deleted
				if ok && !unused {
					require.True(t, now.Revision == before.Revision || now.Revision == stillRecorded.Revision, "%v", before.Key)
				}
			}
			for _, invalid := range merge.Invalid {
				require.NotEqual(t, inForceNow[invalid.Key].Revision, invalid.Revision, "%v is invalid and in force", invalid.Key)
				if invalid.Revision == 0 {
					continue
				}
				single := maps.Clone(inForceNow)
				single[invalid.Key] = history.recorded[invalid.Key]
				alone := file.WithRecord(record.Configuration{
					Recorded: slices.Collect(maps.Values(single)), InForce: merge.InForce,
				})
				fits := slices.Contains(names(alone.InForce), names([]record.Entry{single[invalid.Key]})[0])
				require.False(t, fits, "%v fits what is in force, and is left out", invalid.Key)
			}
			again := file.WithRecord(record.Configuration{Recorded: recorded, InForce: merge.InForce})
			require.Equal(t, names(merge.InForce), names(again.InForce))
			inForce = merge.InForce
		}
	})
}
