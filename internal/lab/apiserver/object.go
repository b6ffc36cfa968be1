package apiserver

import (
	"encoding/json"
	"slices"
)

// Object is one object as JSON has it.
type Object map[string]any

// resource is a resource of the API.
type resource struct {
	group   string
	version string
	name    string
	kind    string
}

// settingsGroup is the group of the controller's custom resources.
const settingsGroup = "robincart.dev"

// resources are the resources that are served.
var resources = []resource{
	{"discovery.k8s.io", "v1", "endpointslices", "EndpointSlice"},
	{"", "v1", "pods", "Pod"},
	{"", "v1", "nodes", "Node"},
	{"coordination.k8s.io", "v1", "leases", "Lease"},
	{settingsGroup, "v1", "settings", "Setting"},
}

// resourceNamed is the resource with a name, which has to be one of those that are served.
func resourceNamed(name string) resource {
	return resources[slices.IndexFunc(resources, func(r resource) bool { return r.name == name })]
}

// apiVersion is the resource's group and version as objects name them.
func (r resource) apiVersion() string {
	if r.group == "" {
		return r.version
	}
	return r.group + "/" + r.version
}

// metadata is an object's metadata. It is added to an object that has none.
func metadata(o Object) map[string]any {
	fields, _ := o["metadata"].(map[string]any)
	if fields == nil {
		fields = map[string]any{}
		o["metadata"] = fields
	}
	return fields
}

// stringField is a field's value; empty if it is absent or no string.
func stringField(fields map[string]any, name string) string {
	value, _ := fields[name].(string)
	return value
}

// objectKey is the key under which an object is stored.
func objectKey(namespace, name string) string { return namespace + "/" + name }

// keyOf is an object's key.
func keyOf(o Object) string {
	fields := metadata(o)
	return objectKey(stringField(fields, "namespace"), stringField(fields, "name"))
}

// clone is a deep copy, with the types that JSON has.
func clone(o Object) Object {
	text, _ := json.Marshal(o)
	var copied Object
	json.Unmarshal(text, &copied)
	return copied
}

// merge applies a merge patch (RFC 7386).
func merge(to, patch map[string]any) {
	for name, value := range patch {
		inner, isObject := value.(map[string]any)
		present, wasObject := to[name].(map[string]any)
		switch {
		case value == nil:
			delete(to, name)
		case isObject && wasObject:
			merge(present, inner)
		default:
			to[name] = value
		}
	}
}
