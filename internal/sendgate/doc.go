// Package sendgate decides, at the moment of a send, whether a target may receive work: not when it is leaving,
// when it has asked for a hold, when its availability zone is taken out, or when it is cold and its allowance is used
// up.
package sendgate
