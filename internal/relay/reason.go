package relay

// Reasons for which a relay refuses a sub-request before sending it.
const (
	ReasonStaleView   = "staleView"
	ReasonTargetGone  = "targetGone"
	ReasonTargetOut   = "targetOut"
	ReasonLate        = "late"
	ReasonCold        = "cold"
	ReasonNoLease     = "coldNoLease"
	ReasonQueueFull   = "queueFull"
	ReasonDown        = "targetDown"
	ReasonCancelled   = "cancelled"
	ReasonQuarantined = "quarantined"
	ReasonLeaving     = "targetLeaving"
	ReasonHoldsOff    = "targetHoldsOff"
)

// Reasons with which a relay reports a sub-request that may have run.
const (
	ReasonLost      = "connectionLost"
	ReasonTimedOut  = "timedOut"
	ReasonMalformed = "malformedReply"
)
