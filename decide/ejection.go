package decide

const (
	ejectionThreshold = 3   // consecutive failures that eject a server
	minEjectionTime   = 1.0 // seconds; first ejection after an answer; each further ejection is twice as long
	maxEjectionTime   = 8.0 // seconds; upper bound of the length of an ejection
)

// outlierState is the state of outlier detection for a server.
type outlierState struct {
	consecutiveFailures int
	ejectedUntil        float64 // seconds; time at which the ejection ends
	ejectionTime        float64 // seconds; length of the last ejection; 0: none since the last answer
}

// succeeded records an answer. It resets the count of failures and the length of the next ejection.
func (o *outlierState) succeeded() { o.consecutiveFailures, o.ejectionTime = 0, 0 }

// failed counts a failure and ejects the server after ejectionThreshold consecutive failures.
func (o *outlierState) failed(now float64) {
	o.consecutiveFailures++
	if o.consecutiveFailures < ejectionThreshold || o.isEjected(now) {
		return
	}
	o.ejectionTime = min(max(minEjectionTime, 2*o.ejectionTime), maxEjectionTime)
	o.ejectedUntil = now + o.ejectionTime
}

// isEjected reports whether the server is ejected now.
func (o *outlierState) isEjected(now float64) bool { return now < o.ejectedUntil }

// isHealthy reports whether the server may get one more attempt. After an ejection the server is half-open: it gets a
// single attempt at a time until it answers.
func (o *outlierState) isHealthy(inFlight int, now float64) bool {
	halfOpen := o.consecutiveFailures >= ejectionThreshold
	return !o.isEjected(now) && !(halfOpen && inFlight > 0)
}
