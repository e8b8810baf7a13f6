// Package platform defines the contract with the platform's read-only services: message types, an HTTP client and the Source
// interface.
//
// docs/contracts/PLATFORM.md describes it in prose.
package platform
