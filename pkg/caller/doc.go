// Package caller defines the contract with callers: message types, reason codes and an HTTP client.
//
// docs/contracts/CALLER.md describes it in prose.
package caller
