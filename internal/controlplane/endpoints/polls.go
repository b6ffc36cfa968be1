package endpoints

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// startPoll starts a poll if discovery's address has changed. It also starts a poll if one was requested and no earlier
// poll can still be answered in time (see answerExpected).
func (w *Watcher) startPoll(ctx context.Context) {
	w.mu.Lock()
	requested, addressChanged := w.pollRequested, w.addressChanged && w.addr != w.polledAddr
	w.pollRequested, w.addressChanged = false, false
	if addressChanged {
		w.useNewAddress()
	}
	needed := addressChanged || requested && !w.answerExpected()
	w.mu.Unlock()
	if !needed {
		return
	}
	for w.pollLimitReached() {
		w.dropOldest()
	}
	acquired := w.descriptors.acquire()
	if !acquired && w.dropOldest() {
		acquired = w.descriptors.acquire()
	}
	pollCtx, cancel := context.WithCancel(ctx)
	p := w.addPoll(cancel)
	if !acquired {
		w.endPoll(p, errNoDescriptor)
		return
	}
	unansweredTimer := time.AfterFunc(w.limits.FirstMessageTimeout, func() { w.markUnanswered(p) })
	go func() {
		err := w.runPoll(pollCtx, p)
		unansweredTimer.Stop()
		w.descriptors.release()
		w.endPoll(p, err)
	}()
}

// answerExpected reports whether a watch is open, or whether a poll can still be answered in time. The mutex is held.
func (w *Watcher) answerExpected() bool {
	for _, p := range w.polls {
		if !p.former && (p.state == pollPending || p.state == pollWatching) {
			return true
		}
	}
	return false
}

// pollLimitReached reports whether a poll has to be dropped before another poll starts.
func (w *Watcher) pollLimitReached() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := 0
	for _, p := range w.polls {
		if !p.former {
			current++
		}
	}
	return current >= maxPolls || len(w.polls) >= maxPollsOfAllAddresses
}

// useNewAddress makes discovery's new address the current one, and all polls polls of a former address. The mutex is
// held.
func (w *Watcher) useNewAddress() {
	for _, p := range w.polls {
		if p.former {
			continue
		}
		p.former, p.revision = true, w.revision
		time.AfterFunc(formerPollTimeout, func() { w.dropIfUnanswered(p) })
	}
	w.watch = nil
	// Another discovery may count revisions differently: its changes could look outdated if their revisions were
	// compared with a revision of the old discovery.
	w.polledAddr, w.revision = w.addr, 0
	w.failures, w.newAddress = 0, true
	w.rejectedSince = time.Time{}
	w.relocation.begin(time.Now())
	w.log.Info("discovery address changed", zap.String("discovery", w.polledAddr), zap.Int("open_polls", len(w.polls)))
}

// dropIfUnanswered drops a poll of a former address that has received nothing: it would only take a place in
// discovery's queue from the poll of the current address.
func (w *Watcher) dropIfUnanswered(p *poll) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.state == pollPending || p.state == pollUnanswered {
		p.drop()
	}
}

// addPoll adds a poll of the current address to w.polls and returns the poll.
func (w *Watcher) addPoll(cancel context.CancelFunc) *poll {
	now := time.Now()
	p := &poll{startedAt: now, lastMessage: now, cancel: cancel, done: make(chan struct{})}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pollsStarted++
	p.number = w.pollsStarted
	p.addr, p.since = w.polledAddr, w.revision
	w.polls = append(w.polls, p)
	return p
}

// endPoll ends a poll, stores the cause of its failure, and wakes Run, which reports the failure.
func (w *Watcher) endPoll(p *poll, cause error) {
	p.err = cause
	p.cancel()
	w.requireSnapshot(p)
	close(p.done)
	w.signal()
}

// requireSnapshot makes the next poll request a snapshot if a poll has ended in a message of unknown revision of which
// a part was applied. If the message was outdated, only a snapshot shows that its servers are ready.
func (w *Watcher) requireSnapshot(p *poll) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.unconfirmedPart && !p.former {
		w.revision = 0
	}
}

// markUnanswered marks a poll that is still pending after FirstMessageTimeout, and wakes Run, which reports the poll as
// failed. The poll continues to run while another poll is started.
func (w *Watcher) markUnanswered(p *poll) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.state == pollPending {
		p.state = pollUnanswered
		w.signal()
	}
}

// dropOldest drops the oldest poll and waits until it has ended. It returns false if there is no poll.
func (w *Watcher) dropOldest() bool {
	w.mu.Lock()
	if len(w.polls) == 0 {
		w.mu.Unlock()
		return false
	}
	p := w.polls[0]
	w.polls = w.polls[1:]
	if p == w.watch {
		w.watch = nil
	}
	p.drop()
	w.mu.Unlock()
	<-p.done
	return true
}

// dropAll drops all polls, including the watch, and waits until they have ended.
func (w *Watcher) dropAll() {
	for w.dropOldest() {
	}
}

// failedPolls returns the polls whose failures have to be reported, and removes the polls that have ended from w.polls.
func (w *Watcher) failedPolls() []*poll {
	w.mu.Lock()
	defer w.mu.Unlock()
	var failed, running []*poll
	for _, p := range w.polls {
		ended := p.ended()
		if !ended {
			running = append(running, p)
		} else if p == w.watch {
			w.watch = nil
		}
		if p.state != pollDropped && !p.former && !p.reported && (ended || p.state == pollUnanswered) {
			p.reported = true
			failed = append(failed, p)
		}
	}
	w.polls = running
	return failed
}

// reportFailure reports a failed poll to the core.
func (w *Watcher) reportFailure(p *poll) {
	cause, lasted := errUnanswered, false
	if p.ended() {
		cause = p.err
		lasted = p.delivered && time.Since(p.startedAt) >= w.limits.WatchSilenceTimeout
	}
	w.recordFailure(p, cause)
	w.mu.Lock()
	if w.watch != nil || p.former || p.state == pollDropped {
		// The core need not request a poll. Either another poll has become the watch since, and the end of that watch
		// will be reported, or the address has changed, and the change starts a poll.
		w.mu.Unlock()
		return
	}
	failure := w.watchFailure(p, cause, lasted)
	w.failures++
	failures, revision := w.failures, w.revision
	w.newAddress = false
	w.mu.Unlock()
	w.logFailure(p, cause, failure, failures, revision)
	w.receiver.EndpointWatchFailed(failure)
}
