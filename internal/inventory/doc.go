// Package inventory holds what the platform publishes of targets and of availability zones taken out.
package inventory
