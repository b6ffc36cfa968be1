package chaos

import (
	"context"
	"math/rand"
	"time"
)

// The pauses and lengths of faults, in milliseconds.
const (
	minAPIFaultPause  = 200
	maxAPIFaultPause  = 1000
	maxEventDelay     = 100
	maxHang           = 2000
	minBackupAge      = 500
	maxBackupAge      = 2500
	maxReplicaRestart = 500
)

const (
	// replayedEvents is how many events are replayed.
	replayedEvents = 50
	// failedRequests is how many requests at most are limited or fail, over at most failingTime.
	failedRequests = 20
	failingTime    = 1500 * time.Millisecond
	// lateTime is how long events are late.
	lateTime = 300 * time.Millisecond
	// hangSettleTime is the time that the API has to send what was written to it before it hangs.
	hangSettleTime = 50 * time.Millisecond
	// restorePause is the time that the next drain has to restore the backup.
	restorePause = 500 * time.Millisecond
)

// apiFault is a fault of the cluster manager's API, or of a controller.
type apiFault int

const (
	faultWatchesBroken apiFault = iota
	faultReplay
	faultCompaction
	faultEventsLate
	faultHang
	faultRequestsFail
	faultRestore
	faultControllerKilled
	faultControllerKilledToo // twice as likely as the others, of which it is played one time in three
	apiFaultCount

	controllerKillChance = 3
)

// resourcesWithFaults are the resources whose events are replayed or late.
var resourcesWithFaults = []string{"pods", "endpointslices"}

// playFaults plays one fault after another until the context ends.
func (c *Controller) playFaults(ctx context.Context) {
	random := rand.New(rand.NewSource(c.Seed + 1))
	for ctx.Err() == nil {
		time.Sleep(randomPause(random, minAPIFaultPause, maxAPIFaultPause))
		resource := resourcesWithFaults[random.Intn(len(resourcesWithFaults))]
		c.playFault(ctx, random, apiFault(random.Intn(int(apiFaultCount))), resource)
	}
}

func (c *Controller) playFault(ctx context.Context, random *rand.Rand, fault apiFault, resource string) {
	switch fault {
	case faultWatchesBroken:
		c.countFault("watches broken")
		c.api.BreakWatches()
	case faultReplay:
		c.countFault("old events replayed")
		c.api.Replay(resource, replayedEvents)
	case faultCompaction:
		c.countFault("history compacted and watches broken")
		c.api.Compact()
		c.api.BreakWatches()
	case faultEventsLate:
		c.countFault("events of one kind late")
		c.api.DelayEvents(resource, randomPause(random, 0, maxEventDelay))
		time.Sleep(lateTime)
		c.api.DelayEvents(resource, 0)
	case faultHang:
		c.hangAPI(random)
	case faultRequestsFail:
		c.failRequests(random)
	case faultRestore:
		c.api.Backup()
		time.Sleep(randomPause(random, minBackupAge, maxBackupAge))
		c.restore.Store(true)
		time.Sleep(restorePause)
	case faultControllerKilled, faultControllerKilledToo:
		if random.Intn(controllerKillChance) == 0 {
			c.killController(ctx, random)
		}
	}
}

// hangAPI has the API hang for a while. It takes no writes meanwhile either, and has sent what was written before.
func (c *Controller) hangAPI(random *rand.Rand) {
	c.countFault("API hung")
	c.apiWrite.Lock()
	defer c.apiWrite.Unlock()
	time.Sleep(hangSettleTime)
	c.api.Hang(true)
	time.Sleep(randomPause(random, 0, maxHang))
	c.api.Hang(false)
}

// failRequests has the API limit or fail requests for a while.
func (c *Controller) failRequests(random *rand.Rand) {
	c.countFault("API limited or failing for new requests")
	if random.Intn(2) == 0 {
		c.api.Limit(failedRequests)
	} else {
		c.api.Fail(failedRequests)
	}
	time.Sleep(failingTime)
	c.api.Limit(0)
	c.api.Fail(0)
}

// killController kills a random controller and starts it again after a while.
func (c *Controller) killController(ctx context.Context, random *rand.Rand) {
	c.countFault("controllers killed")
	controller := c.replicas[random.Intn(len(c.replicas))]
	controller.kill()
	time.Sleep(randomPause(random, 0, maxReplicaRestart))
	err := controller.start(c.Program)
	if err == nil {
		err = controller.awaitReady(context.WithoutCancel(ctx))
	}
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.reportBroken("%s does not start again: %v", controller.name, err)
	}
}
