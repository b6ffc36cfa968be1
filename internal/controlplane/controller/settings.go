package controller

import (
	"context"
	"encoding/json"

	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/apis/meta/v1/unstructured"
	"k8s.io/apimachinery/pkg/runtime"
	"k8s.io/apimachinery/pkg/runtime/schema"
	"k8s.io/apimachinery/pkg/types"
	"k8s.io/apimachinery/pkg/watch"
	"k8s.io/client-go/dynamic"
	"k8s.io/client-go/tools/cache"

	"robincart/internal/controlplane/desiredstate"
)

// kindSettings is the kind of Setting objects. requiredKinds does not contain it, since lists of servers do not depend
// on settings.
const kindSettings = "settings"

// settingsResource is the custom resource that defines services, routes and quotas. deploy/kubernetes/settings.yaml
// declares it.
var settingsResource = schema.GroupVersionResource{Group: "robincart.dev", Version: "v1", Resource: kindSettings}

// unreadableGeneration replaces the generation of a published status that can't be decoded. No new status has this
// generation, so the status is published again.
const unreadableGeneration = -1

// settingObject is a Setting object of the API, with its published status.
type settingObject struct {
	desiredstate.Object
	namespace string
	name      string
	published desiredstate.Status
}

// parseSetting converts a Setting object. If its spec can't be decoded, Malformed holds the error.
func parseSetting(key string, object *unstructured.Unstructured) settingObject {
	result := settingObject{
		Object: desiredstate.Object{
			Key:        key,
			UID:        string(object.GetUID()),
			Generation: object.GetGeneration(),
			CreatedAt:  object.GetCreationTimestamp().UnixMilli(),
		},
		namespace: object.GetNamespace(),
		name:      object.GetName(),
	}
	if err := decodeField(object.Object["spec"], &result.Spec); err != nil {
		result.Malformed = err.Error()
	}
	if decodeField(object.Object["status"], &result.published) != nil {
		result.published = desiredstate.Status{Generation: unreadableGeneration}
	}
	return result
}

// decodeField converts a field of an unstructured object to a struct with JSON tags.
func decodeField(field, target any) error {
	text, err := json.Marshal(field)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, target)
}

// newSettingsSource returns the list and watch functions for a reflector of Setting objects.
func newSettingsSource(api dynamic.ResourceInterface) cache.ListerWatcher {
	listFunc := func(ctx context.Context, options metav1.ListOptions) (runtime.Object, error) {
		return api.List(ctx, options)
	}
	watchFunc := func(ctx context.Context, options metav1.ListOptions) (watch.Interface, error) {
		return api.Watch(ctx, options)
	}
	return &cache.ListWatch{ListWithContextFunc: listFunc, WatchFuncWithContext: watchFunc}
}

// statusPatch is a merge patch of a Setting's status. It contains every field, since a field that a merge patch lacks
// keeps its old value. The value null removes a field.
type statusPatch struct {
	Status statusPatchFields `json:"status"`
}

type statusPatchFields struct {
	Accepted           bool    `json:"accepted"`
	ListRevision       *int64  `json:"listRevision"`
	Nodes              *int64  `json:"nodes"`
	ObservedGeneration int64   `json:"observedGeneration"`
	Reason             *string `json:"reason"`
	RecordEpoch        *string `json:"recordEpoch"`
	RecordRevision     *int64  `json:"recordRevision"`
}

func newStatusPatch(status desiredstate.Status) statusPatch {
	fields := statusPatchFields{Accepted: status.Accepted, ObservedGeneration: status.Generation}
	if status.ListRevision > 0 {
		fields.Nodes = &status.Nodes
		fields.ListRevision = &status.ListRevision
	}
	if status.Reason != "" {
		fields.Reason = &status.Reason
	}
	if status.Accepted {
		fields.RecordRevision = &status.Revision
		fields.RecordEpoch = &status.Epoch
	}
	return statusPatch{Status: fields}
}

// patchStatus publishes a setting's status in the API.
func (w *recordWriter) patchStatus(ctx context.Context, setting settingObject, status desiredstate.Status) error {
	body, err := json.Marshal(newStatusPatch(status))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, apiCallTimeout)
	defer cancel()
	api := w.api.Namespace(setting.namespace)
	_, err = api.Patch(ctx, setting.name, types.MergePatchType, body, metav1.PatchOptions{}, "status")
	return err
}
