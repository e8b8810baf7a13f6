package crashguard

import "time"

// maxAnswers bounds the answers that are retained: some 1,000 searches over 20 shards within answerValid.
const maxAnswers = 20000

// answerKey identifies a request at a service, or at any service if that is empty.
type answerKey struct {
	fingerprint uint64
	service     string
}

// answers holds the time of the latest answer of each service to each request for at least answerValid, unless there are
// more than maxAnswers.
type answers struct {
	recent, older map[answerKey]time.Time
	// recentSince is when recent was begun.
	recentSince time.Time
}

func (a *answers) record(k answerKey, at time.Time) {
	if a.recent == nil || at.Sub(a.recentSince) > answerValid || len(a.recent) >= maxAnswers {
		a.recent, a.older = map[answerKey]time.Time{}, a.recent
		a.recentSince = at
	}
	a.recent[k] = at
}

// latest returns the time of the latest answer, and the zero time if none is retained.
func (a *answers) latest(k answerKey) time.Time {
	if at, ok := a.recent[k]; ok {
		return at
	}
	return a.older[k]
}
