package run

import (
	"context"
	"time"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/standin"
)

// replayInterval is the time between two replays of old changes.
const replayInterval = 250 * time.Millisecond

// playDiscoveryFault makes a fault of discovery.
func (f *fleet) playDiscoveryFault(ctx context.Context, fault experiment.Fault, d *standin.Discovery) {
	lasts := fault.For.Std()
	switch fault.Kind {
	case experiment.FaultGone:
		d.SetDown(true)
		sleep(ctx, lasts)
		d.SetDown(false)
	case experiment.FaultSilence:
		d.MuteWatches()
	case experiment.FaultResetWatches:
		d.ResetWatches()
	case experiment.FaultBusy:
		config := f.experiment.Fleet.Discovery
		d.SetWorkQueue(fault.By.Std(), config.MaxCallDelay.Std())
		sleep(ctx, lasts)
		d.SetWorkQueue(config.CallWork.Std(), config.MaxCallDelay.Std())
	case experiment.FaultLate:
		d.SetDelay(fault.By.Std())
		sleep(ctx, lasts)
		d.SetDelay(0)
	case experiment.FaultSpoilLists:
		d.SpoilMessages(fault.Share, f.experiment.Seed)
		sleep(ctx, lasts)
		d.SpoilMessages(0, 0)
	case experiment.FaultReplay:
		replay(ctx, d, lasts)
	}
}

// replay has discovery publish old changes again and again.
func replay(ctx context.Context, d *standin.Discovery, lasts time.Duration) {
	end := time.Now().Add(lasts)
	for ctx.Err() == nil {
		d.Replay()
		if !sleep(ctx, replayInterval) || time.Now().After(end) {
			return
		}
	}
}
