package apiserver

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
)

// selector is what a list or a watch selects.
type selector struct {
	namespace string // empty: all
	labels    string // a labelSelector with = and existence
	byName    bool
	name      string
}

func newSelector(path resourcePath, query url.Values) selector {
	name, byName := strings.CutPrefix(query.Get("fieldSelector"), "metadata.name=")
	return selector{namespace: path.namespace, labels: query.Get("labelSelector"), byName: byName, name: name}
}

func (s selector) selects(o Object) bool {
	fields := metadata(o)
	if s.namespace != "" && stringField(fields, "namespace") != s.namespace {
		return false
	}
	if s.byName && stringField(fields, "name") != s.name {
		return false
	}
	labels, _ := fields["labels"].(map[string]any)
	for requirement := range strings.SplitSeq(s.labels, ",") {
		name, value, equals := strings.Cut(requirement, "=")
		if name == "" {
			continue
		}
		label, present := labels[name].(string)
		if !present || equals && label != strings.TrimPrefix(value, "=") {
			return false
		}
	}
	return true
}

// serveList answers with a list, or with one page of it.
func (s *Server) serveList(w http.ResponseWriter, r *http.Request, path resourcePath) {
	text, failure := s.encodeList(path, r.URL.Query())
	if failure != nil {
		writeError(w, failure)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
}

// encodeList is a list, or the page of it that starts behind the continue parameter, which is REVISION:KEY.
func (s *Server) encodeList(path resourcePath, query url.Values) ([]byte, *statusError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := s.stores[path.resource.name]
	keys := stored.selectKeys(newSelector(path, query))
	version := formatRevision(s.revision)
	if token := query.Get("continue"); token != "" {
		var after string
		version, after, _ = strings.Cut(token, ":")
		revision, _ := strconv.ParseInt(version, 10, 64)
		if revision < stored.compactedTo {
			return nil, &statusError{410, "Expired", "the provided continue parameter is too old"}
		}
		keys = keys[sort.SearchStrings(keys, after+"\x00"):]
	}
	listMetadata := map[string]any{"resourceVersion": version}
	if limit, _ := strconv.Atoi(query.Get("limit")); limit > 0 && len(keys) > limit {
		keys = keys[:limit]
		listMetadata["continue"] = fmt.Sprintf("%s:%s", version, keys[limit-1])
	}
	items := make([]Object, 0, len(keys))
	for _, key := range keys {
		items = append(items, stored.objects[key])
	}
	var text bytes.Buffer
	err := json.NewEncoder(&text).Encode(Object{
		"apiVersion": path.resource.apiVersion(),
		"kind":       path.resource.kind + "List",
		"metadata":   listMetadata,
		"items":      items,
	})
	if err != nil {
		return nil, &statusError{500, "InternalError", err.Error()}
	}
	return text.Bytes(), nil
}

// selectKeys are the keys of the objects that are selected, sorted.
func (s *store) selectKeys(selected selector) []string {
	var keys []string
	for key, o := range s.objects {
		if selected.selects(o) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}
