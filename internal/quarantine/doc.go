// Package quarantine records which requests were running when targets were lost, so that a request that crashes
// targets is isolated and then refused.
package quarantine
