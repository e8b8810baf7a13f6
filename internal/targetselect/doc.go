// Package targetselect selects the target that is expected to answer soonest. Expectations come from the latency, load
// and failures of a daemon's own calls and from stall hints of its peers. If it learns capacity, it leaves out targets
// with as many calls as they handle well (package targetcapacity).
package targetselect
