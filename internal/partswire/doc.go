// Package partswire converts searches and parts between Go types and the protobuf messages that daemons exchange.
package partswire
