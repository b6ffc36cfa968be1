package controller

import (
	"context"

	"go.uber.org/zap"
	coordination "k8s.io/api/coordination/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	typedcoordination "k8s.io/client-go/kubernetes/typed/coordination/v1"
	"k8s.io/client-go/tools/leaderelection"
	"k8s.io/client-go/tools/leaderelection/resourcelock"
)

// handleLease processes an event of the leader's lease. Each change of the lease's holder starts a new epoch. The epoch
// begins with a snapshot of each list. The revisions of these snapshots are higher than all revisions of earlier
// epochs.
func (c *Controller) handleLease(_ string, object any, event eventType) {
	lease, ok := object.(*coordination.Lease)
	if event != objectUpdated || !ok {
		return
	}
	if lease.Name != c.config.LeaseName || lease.Spec.LeaseTransitions == nil {
		return
	}
	epoch := int64(*lease.Spec.LeaseTransitions) + 1
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch <= c.epoch { // an epoch never decreases, even if the API was restored from a backup
		return
	}
	c.epoch = epoch
	c.log.Info("epoch started", zap.Int64("epoch", epoch))
	if c.isSynced() {
		c.publishSnapshots()
	}
}

// elect takes part in the leader election until the context ends.
func (c *Controller) elect(ctx context.Context) {
	config := leaderelection.LeaderElectionConfig{
		Lock: &resourcelock.LeaseLock{
			LeaseMeta:  metav1.ObjectMeta{Namespace: c.config.Namespace, Name: c.config.LeaseName},
			Client:     typedcoordination.New(c.clients.coordination),
			LockConfig: resourcelock.ResourceLockConfig{Identity: c.config.Identity},
		},
		LeaseDuration:   c.config.LeaseDuration,
		RenewDeadline:   c.config.LeaseDuration * 2 / 3,
		RetryPeriod:     c.config.LeaseDuration / 6,
		ReleaseOnCancel: true,
		Callbacks: leaderelection.LeaderCallbacks{
			OnStartedLeading: func(context.Context) { c.setLeading(true) },
			OnStoppedLeading: func() { c.setLeading(false) },
		},
	}
	for ctx.Err() == nil { // an elector stops when it loses the lease
		elector, err := leaderelection.NewLeaderElector(config)
		if err != nil {
			c.log.Error("leader election failed", zap.Error(err))
			return
		}
		elector.Run(ctx)
	}
}

func (c *Controller) setLeading(leading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leading == leading {
		return
	}
	c.leading = leading
	message := "lease lost"
	if leading {
		message = "lease acquired"
	}
	c.log.Info(message, zap.String("lease", c.config.LeaseName))
}
