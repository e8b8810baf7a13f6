// Package fakeplatform implements a fake of the platform: a configuration service that can only be read and
// watched, and a list of VMs that can lag behind. Tests run it in process, and the standin program serves it over HTTP.
package fakeplatform
