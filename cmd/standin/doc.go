// Standin runs fakes of the platform and the targets, and generates load.
package main
