package partswire

import (
	"math"
	"net/http"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
	"github.com/knapweedpoint/knapweedpoint/internal/topk"
)

// ReasonRejected is the reason given for a shard whose target rejected the search itself.
const ReasonRejected = "targetRejected"

// EncodeRequest converts the request of a caller to a message.
func EncodeRequest(r targetcall.Request) *gossippb.Request {
	m := &gossippb.Request{Id: r.ID, Method: r.Method, Host: r.Host, Path: r.Path, Body: r.Body, Account: r.Account}
	for name, values := range r.Header {
		for _, v := range values {
			m.Headers = append(m.Headers, &gossippb.Header{Name: name, Value: v})
		}
	}
	return m
}

// DecodeRequest converts a message to the request of a caller.
func DecodeRequest(m *gossippb.Request) targetcall.Request {
	r := targetcall.Request{
		ID: m.GetId(), Method: m.GetMethod(), Host: m.GetHost(), Path: m.GetPath(), Body: m.GetBody(), Header: http.Header{}, Account: m.GetAccount(),
	}
	for _, h := range m.GetHeaders() {
		// The header name must keep the spelling that the requesting daemon received; Add would canonicalize it.
		r.Header[h.GetName()] = append(r.Header[h.GetName()], h.GetValue())
	}
	return r
}

// EncodePriority returns the value of PartsCall.priority for the priority of a route.
func EncodePriority(priority int) uint32 {
	return uint32(min(max(priority, 0), math.MaxUint32-1) + 1)
}

// DecodeRoute returns a route with the fields that a call carries. Searches may run more than once, so the route is
// repeatable.
func DecodeRoute(m *gossippb.PartsCall) routetable.Route {
	return routetable.Route{
		Host: m.GetHost(), Prefix: m.GetPrefix(), Idempotent: true, Attempts: int(m.GetAttempts()),
		Objective: time.Duration(m.GetObjectiveMillis()) * time.Millisecond,
		// A call that does not say has the highest priority.
		Priority: int(max(m.GetPriority(), 1) - 1),
	}
}

// EncodeBlock returns the results of some shards, with the greatest records of all of them.
func EncodeBlock(results []forward.JobResult, topK int) *gossippb.PartsBlock {
	b := &gossippb.PartsBlock{}
	heap := topk.Heap{Limit: topK}
	for _, r := range results {
		if o, done := r.Outcome.(forward.Done); done && o.Answer.Success() {
			b.Parts = append(b.Parts, &gossippb.Part{Shard: uint32(r.Index), Signature: o.Answer.Signature})
			heap.Add(o.Answer.Body)
			continue
		}
		b.Missing = append(b.Missing, encodeMissing(r))
	}
	b.Records = heap.Bytes()
	return b
}

func encodeMissing(r forward.JobResult) *gossippb.MissingPart {
	m := &gossippb.MissingPart{Shard: uint32(r.Index)}
	switch o := r.Outcome.(type) {
	case forward.Done:
		m.Ending, m.Reason = gossippb.Ending_REJECTED, ReasonRejected
	case forward.Failed:
		m.Ending = gossippb.Ending_FAILED
	case forward.Lost:
		m.Ending, m.Reason = gossippb.Ending_LOST, o.Reason
	case forward.NotRun:
		m.Ending, m.Reason, m.RetryMillis = gossippb.Ending_NOT_RUN, o.Reason, uint32(o.RetryAfter.Milliseconds())
	}
	return m
}

// DecodeBlock returns the results of the shards in a block. The first part carries the records of all of them.
// indexInSearch returns the index of a shard in the search from its index in the call; aggregator is the name of the
// daemon that replied.
func DecodeBlock(b *gossippb.PartsBlock, aggregator string, indexInSearch func(shard int) int) []forward.JobResult {
	records := b.GetRecords()
	results := lo.Map(b.GetParts(), func(p *gossippb.Part, i int) forward.JobResult {
		a := targetcall.Answered{Status: http.StatusOK, Signature: p.GetSignature()}
		if i == 0 {
			a.Body = records
		}
		return forward.JobResult{Index: indexInSearch(int(p.GetShard())), Outcome: forward.Done{Answer: a, Target: aggregator}, Trace: trace(aggregator, "answered")}
	})
	for _, m := range b.GetMissing() {
		o := decodeMissing(m, aggregator)
		results = append(results, forward.JobResult{Index: indexInSearch(int(m.GetShard())), Outcome: o, Trace: trace(aggregator, o.Label())})
	}
	return results
}

func decodeMissing(m *gossippb.MissingPart, aggregator string) forward.Outcome {
	switch m.GetEnding() {
	case gossippb.Ending_NOT_RUN:
		return forward.NotRun{Reason: m.GetReason(), RetryAfter: time.Duration(m.GetRetryMillis()) * time.Millisecond}
	case gossippb.Ending_FAILED:
		return forward.Failed{Target: aggregator}
	case gossippb.Ending_REJECTED:
		return forward.Done{Answer: targetcall.Answered{Status: http.StatusBadRequest}, Target: aggregator}
	default:
		return forward.Lost{Reason: m.GetReason()}
	}
}

func trace(aggregator, label string) forward.Trace {
	return forward.Trace{Sends: []forward.SendTrace{{Target: aggregator, Result: label}}}
}
