package decide

const (
	ejectAfter      = 3   // failures in a row that eject a server
	minEjectionTime = 1.0 // seconds that the first ejection lasts; doubles while servers fail again after it
	maxEjectionTime = 8.0 // seconds
)

// outlierState is what outlier detection knows of a server.
type outlierState struct {
	failuresInRow int
	ejectedUntil  float64 // seconds
	ejectionTime  float64 // seconds that the last ejection lasted; 0: the server has answered since
}

// succeeded notes an answer.
func (o *outlierState) succeeded() { o.failuresInRow, o.ejectionTime = 0, 0 }

// failed notes a failure and ejects a server that only fails.
func (o *outlierState) failed(now float64) {
	o.failuresInRow++
	if o.failuresInRow < ejectAfter || o.isEjected(now) {
		return
	}
	o.ejectionTime = min(max(minEjectionTime, 2*o.ejectionTime), maxEjectionTime)
	o.ejectedUntil = now + o.ejectionTime
}

// isEjected reports whether the server is to get nothing for now.
func (o *outlierState) isEjected(now float64) bool { return now < o.ejectedUntil }

// isHealthy reports whether the server may get one more attempt: after an ejection a single attempt at a time finds out
// whether it still fails.
func (o *outlierState) isHealthy(inFlight int, now float64) bool {
	onTrial := o.failuresInRow >= ejectAfter
	return !o.isEjected(now) && !(onTrial && inFlight > 0)
}
