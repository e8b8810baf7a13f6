// Package gossippb holds the generated messages of datagrams and copies between entry daemons.
package gossippb
