package controller

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"go.uber.org/zap"
	core "k8s.io/api/core/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"
)

// ReadinessGate is the condition type of the readiness gate that limits concurrent slow starts: a Pod that names it in
// spec.readinessGates is ready only after the leader has set the condition to true.
const ReadinessGate = "robincart.dev/may-serve"

// gateOpenReason is the reason field of the condition of an open gate.
const gateOpenReason = "LetIn"

// gatePatch is a merge patch of a Pod's status. The patch replaces the list of conditions, so it must contain all
// conditions of the Pod.
type gatePatch struct {
	Status gatePatchStatus `json:"status"`
}

type gatePatchStatus struct {
	Conditions []core.PodCondition `json:"conditions"`
}

// openGates opens the readiness gates of the pods that may start to serve now. It does nothing if this replica is not
// the leader.
func (c *Controller) openGates(ctx context.Context) {
	for _, uid := range c.podsToAdmit() {
		// Look up each pod just before its patch: earlier patches take time, and each patch must contain the pod's
		// latest conditions.
		c.mu.Lock()
		pod := c.pods[uid]
		c.mu.Unlock()
		if err := c.openGate(ctx, pod); err != nil && !errors.Is(err, context.Canceled) {
			c.log.Warn("readiness gate patch failed", zap.String("pod", pod.name), zap.Error(err))
		}
		c.mu.Lock()
		c.gatesOpened++
		c.mu.Unlock()
	}
}

// podsToAdmit returns the UIDs of the pods whose gates are to be opened now.
func (c *Controller) podsToAdmit() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leading || !c.isSynced() {
		return nil
	}
	return c.state.OpenGates(c.now())
}

func (c *Controller) openGate(ctx context.Context, pod podRecord) error {
	conditions := slices.DeleteFunc(slices.Clone(pod.conditions), func(condition core.PodCondition) bool {
		return condition.Type == ReadinessGate
	})
	conditions = append(conditions, core.PodCondition{
		Type:               ReadinessGate,
		Status:             core.ConditionTrue,
		Reason:             gateOpenReason,
		LastTransitionTime: metav1.Now(),
	})
	body, err := json.Marshal(gatePatch{Status: gatePatchStatus{Conditions: conditions}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, apiCallTimeout)
	defer cancel()
	request := c.clients.core.Patch(types.MergePatchType).Namespace(c.config.Namespace).Resource(kindPods)
	return request.Name(pod.name).SubResource("status").Body(body).Do(ctx).Error()
}
