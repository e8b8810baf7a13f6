// Package orders holds what operators publish: the configuration in force and the availability zones taken out.
package orders
