// Package boundedhttp limits the size of the responses that an HTTP client reads.
package boundedhttp
