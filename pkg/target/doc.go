// Package target holds the contract between a relay and a target: messages, failures and an HTTP client.
//
// docs/contracts/TARGET.md describes it in prose.
package target
