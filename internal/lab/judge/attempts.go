package judge

// checkAttempt evaluates an attempt by what its client saw. forwarded says whether a node sent it on to a server.
func (e *evaluation) checkAttempt(attempt ClientAttempt, forwarded bool) {
	v := e.verdict
	v.Outcomes[attempt.Outcome.String()]++
	if attempt.N > 0 {
		v.Retries++
	}
	if attempt.Outcome == NotSent || attempt.Outcome == NotConnected {
		return
	}
	if attempt.Outcome == OK {
		record(v.Service, attempt.Answered-attempt.Sent)
	}
	if attempt.Node < 0 {
		return // directly to a server: no node owes a response
	}
	if lost(attempt, forwarded) {
		v.violate(NoAnswer, "%v through node %d, sent at %v", attempt.ID, attempt.Node, attempt.Sent)
	} else if attempt.Outcome <= Aborted && attempt.Answered > attempt.Deadline+e.rules.Slack {
		late := attempt.Answered - attempt.Deadline
		v.violate(LateAnswer, "%v through node %d, %v late", attempt.ID, attempt.Node, late)
	}
	if attempt.Extra > 0 {
		v.violate(SecondAnswer, "%v through node %d", attempt.ID, attempt.Node)
	}
	if attempt.Foreign {
		v.violate(UnsolicitedOK, "%v through node %d", attempt.ID, attempt.Node)
	}
}

// lost returns whether a node still owes an attempt its response. A close that crosses a request on an idle connection
// loses nothing, unless the node had read the request and forwarded it.
func lost(attempt ClientAttempt, forwarded bool) bool {
	return attempt.Outcome == Lost || attempt.Outcome == Crossed && forwarded
}
