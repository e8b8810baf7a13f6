// Package boundedhttp bounds the answers that an HTTP client reads.
package boundedhttp
