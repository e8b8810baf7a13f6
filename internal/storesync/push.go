package storesync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/operatorstate"
	"github.com/knapweedpoint/knapweedpoint/internal/roster"
)

// ReceivePush applies a push from a peer, which has not arrived before arrivedAfter and may have waited since. It schedules a
// fetch of the peer's copy if the peer has a newer configuration, which a push does not hold. If changes before the push are
// missing, or the push is of a later era, it schedules a fetch instead of applying the push.
func (s *Syncer) ReceivePush(from roster.Member, p *gossippb.Push, arrivedAfter time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.State()
	c := fetchCandidate{member: from, version: p.GetVersion(), era: p.GetEra(), revision: p.GetFrom()}
	if c.newerThan(state) {
		s.addCandidate(c)
	}
	if p.GetEra() == state.Inventory.Era && p.GetFrom() <= state.Inventory.Revision {
		s.applyPush(p, arrivedAfter)
	}
}

// applyPush applies the changes in a push. The caller holds mu.
func (s *Syncer) applyPush(p *gossippb.Push, arrivedAfter time.Time) {
	d := Delta{Era: p.GetEra(), Revision: p.GetTo(), Targets: decodeChanges(p, time.Now())}
	state := s.State()
	d.OperatorState = zoneChanges(state.OperatorState.ZonesOut, p.GetZonesOut())
	d.ConfigurationsAfter = configurationsAfter(p.GetConfigurationComplete() && state.OperatorState.Version() >= p.GetVersion(), p.GetTo())
	s.apply(d, arrivedAfter.Add(-fromMillis(p.GetAgeMillis())), false)
}

// configurationsAfter returns Delta.ConfigurationsAfter for what a peer sent up to a revision. If this daemon does not have the
// latest configuration up to the revision, the delta proves nothing about those before it.
func configurationsAfter(complete bool, revision uint64) uint64 {
	if complete {
		return 0
	}
	return revision
}

// ObservePeer records what a peer advertises: the version of its configuration, and the era and revision after which its
// history is complete. If the peer has newer state, its copy is fetched.
func (s *Syncer) ObservePeer(from roster.Member, version, era, since uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := fetchCandidate{member: from, version: version, era: era, revision: since}
	if c.newerThan(s.State()) {
		s.addCandidate(c)
	}
}

// Advertised returns what this daemon advertises to its peers, which pass it to ObservePeer.
func (s *Syncer) Advertised() (version, era, since uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.State()
	return state.OperatorState.Version(), state.Inventory.Era, s.history.start()
}

// addCandidate records a peer with newer state and wakes copyLoop. The caller holds mu.
func (s *Syncer) addCandidate(c fetchCandidate) {
	s.candidates.add(c)
	select {
	case s.copyWake <- struct{}{}:
	default:
	}
}

// Copy returns the state that a peer with the given version, era and revision lacks.
func (s *Syncer) Copy(have *gossippb.FetchRequest) (*gossippb.PackedCopy, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, state := time.Now(), s.State()
	key := packKey{
		era: state.Inventory.Era, revision: state.Inventory.Revision, version: state.OperatorState.Version(),
		changes:  have.GetEra() == state.Inventory.Era && have.GetRevision() > 0 && have.GetRevision() >= s.history.start(),
		document: state.OperatorState.Version() > have.GetVersion(),
	}
	data, err := s.packCache.pack(key, now, func() *gossippb.Copy { return encodeCopy(&s.history, state, key, now) })
	if err != nil {
		return nil, err
	}
	return &gossippb.PackedCopy{Copy: data, AgeMillis: toMillis(now.Sub(state.ReadAt))}, nil
}

// catchUp fetches copies from peers with newer state, one after the other, until none is left.
func (s *Syncer) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		// The random delay keeps daemons that learn of a change together from all fetching from the peer that advertised
		// it. Daemons that fetched first advertise the change in turn.
		time.Sleep(time.Duration(rand.Int64N(int64(fetchSpread) * int64(s.options.Peers.Members()+1))))
		s.mu.Lock()
		from, ok := s.candidates.pick(s.State())
		s.mu.Unlock()
		if !ok {
			return
		}
		s.fetch(ctx, from)
	}
}

func (s *Syncer) fetch(ctx context.Context, from roster.Member) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	start := time.Now()
	state := s.State()
	packed, err := s.options.Peers.Fetch(ctx, from, &gossippb.FetchRequest{
		Version: state.OperatorState.Version(), Era: state.Inventory.Era, Revision: state.Inventory.Revision,
	})
	var c *gossippb.Copy
	if err == nil {
		c, err = unpack(packed)
	}
	if err == nil {
		err = s.applyCopy(c, start)
	}
	s.mu.Lock()
	// If the peer has state beyond its copy, it will advertise it again.
	s.candidates.remove(from.Name)
	s.mu.Unlock()
	if err != nil {
		events.CopyFailed.Log(s.options.Log, zap.String("peer", from.Name), zap.Error(err))
		return
	}
	events.CopyTaken.Log(s.options.Log, zap.String("peer", from.Name), zap.Uint64("era", c.GetEra()), zap.Uint64("revision", c.GetRevision()),
		zap.Uint64("version", c.GetVersion()), zap.Uint32("ageMillis", c.GetAgeMillis()))
}

func (s *Syncer) applyCopy(c *gossippb.Copy, start time.Time) error {
	if c.GetRevision() == 0 {
		return nil
	}
	var configuration []operatorstate.Change
	var received operatorstate.State
	if doc := c.GetConfiguration(); len(doc) > 0 {
		table, err := s.options.Source.Configuration(doc)
		if err != nil {
			return errorx.Decorate(err, "configuration from peer")
		}
		change := operatorstate.Configuration{Table: table, Document: doc}
		configuration, received = append(configuration, change), received.With(change)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.State()
	if before.Inventory.Compare(c.GetEra(), c.GetRevision()) > 0 {
		// The peer's targets are older than those of this copy, so only a newer configuration is applied.
		s.apply(Delta{
			Era: before.Inventory.Era, Revision: before.Inventory.Revision, OperatorState: configuration, ConfigurationsAfter: before.Inventory.Revision,
		}, time.Time{}, false)
		return nil
	}
	// A configuration that the peer holds and this copy lacks comes with the copy.
	complete := c.GetConfigurationComplete() && max(before.OperatorState.Version(), received.Version()) >= c.GetVersion()
	if p := c.GetChanges(); p != nil {
		d := Delta{
			Era: c.GetEra(), Revision: p.GetTo(), Targets: decodeChanges(p, start),
			ConfigurationsAfter: configurationsAfter(complete, p.GetTo()),
		}
		d.OperatorState = append(zoneChanges(before.OperatorState.ZonesOut, p.GetZonesOut()), configuration...)
		s.apply(d, start.Add(-fromMillis(c.GetAgeMillis())), false)
		return nil
	}
	f := FullState{Era: c.GetEra(), Revision: c.GetRevision(), OperatorState: before.OperatorState.WithZonesOut(c.GetZonesOut())}
	for _, t := range c.GetTargets() {
		f.Targets = append(f.Targets, decodeTarget(t, start))
	}
	d := diff(before, f)
	for _, r := range c.GetRemovals() {
		d.Targets = append(d.Targets, decodeRemoval(r, start))
	}
	d.OperatorState = append(d.OperatorState, configuration...)
	d.ConfigurationsAfter = configurationsAfter(complete, d.Revision)
	s.apply(d, start.Add(-fromMillis(c.GetAgeMillis())), false)
	return nil
}
