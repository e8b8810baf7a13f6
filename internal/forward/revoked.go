package forward

// isRevoked reports whether the job sends nothing more because the caller's authentication was revoked. Jobs of a batch of which
// a target may have run something continue.
func (r *run) isRevoked() bool {
	if r.job.Revoked == nil || r.batch.mayHaveRun() || !r.job.Revoked() {
		return false
	}
	r.revoked = true
	return true
}

// mayHaveRun reports whether a target may have run a job of the batch, or may be running it.
func (b *Batch) mayHaveRun() bool {
	for i := range b.runs {
		r := &b.runs[i]
		_, done := r.outcome.(Done)
		if done || r.job.AlreadySent || r.attemptsUsed+len(r.inFlight) > 0 {
			return true
		}
	}
	return false
}
