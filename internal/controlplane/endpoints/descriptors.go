package endpoints

// acquire takes a descriptor for a call. One is kept from watch to watch: given back while discovery is down it would be gone when
// discovery is back, with every other in use for as long as servers hang. Only Run's goroutine calls it.
func (w *Watcher) acquire() bool {
	w.mu.Lock()
	more := w.held <= w.used
	w.mu.Unlock()
	if more && !w.budget.Acquire() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if more {
		w.held++
	}
	w.used++
	return true
}

// release is the end of an acquire.
func (w *Watcher) release() {
	w.mu.Lock()
	w.used--
	spare := w.held > max(1, w.used)
	if spare {
		w.held--
	}
	w.mu.Unlock()
	if spare {
		w.budget.Release()
	}
}
