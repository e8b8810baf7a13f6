// Standin runs stand-ins for the platform and the targets, and generates load.
package main
