package storesync

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/orders"
	"github.com/knapweedpoint/knapweedpoint/internal/roster"
)

// Take applies a push of a peer, or asks for its whole copy when something in between is missing.
func (s *Syncer) Take(from roster.Member, p *gossippb.Push) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	state := s.State()
	if p.GetVersion() > state.Orders.Version() || p.GetFrom() > state.Inventory.Revision {
		select {
		case s.behind <- from:
		default:
		}
		return
	}
	d := Delta{Revision: p.GetTo(), Targets: decodeChanges(p, now)}
	d.Orders = zoneChanges(state.Orders.ZonesOut, p.GetZonesOut())
	s.apply(d, now.Add(-span(p.GetAgeMillis())), false)
}

// Copy returns what a peer asks for.
func (s *Syncer) Copy(have uint64) *gossippb.Copy {
	return encodeCopy(s.State(), have, time.Now())
}

func (s *Syncer) fetch(ctx context.Context, from roster.Member) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	begun := time.Now()
	c, err := s.o.Peers.Fetch(ctx, from, s.State().Orders.Version())
	if err == nil {
		err = s.takeCopy(c, begun)
	}
	if err != nil {
		events.CopyFailed.Log(s.o.Log, zap.String("peer", from.Name), zap.Error(err))
		return
	}
	events.CopyTaken.Log(s.o.Log, zap.String("peer", from.Name), zap.Uint64("revision", c.GetRevision()),
		zap.Uint64("version", c.GetVersion()), zap.Uint32("ageMillis", c.GetAgeMillis()))
}

func (s *Syncer) takeCopy(c *gossippb.Copy, begun time.Time) error {
	if c.GetRevision() == 0 {
		return nil
	}
	var change []orders.Change
	if doc := c.GetConfiguration(); len(doc) > 0 {
		table, err := s.o.Source.Configuration(doc)
		if err != nil {
			return errorx.Decorate(err, "configuration of a peer")
		}
		change = append(change, orders.Configuration{Table: table, Document: doc})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.State()
	if c.GetRevision() < before.Inventory.Revision {
		// The peer's targets are older than ours; only a newer configuration is of use.
		s.apply(Delta{Revision: before.Inventory.Revision, Orders: change}, time.Time{}, false)
		return nil
	}
	f := Full{Revision: c.GetRevision(), Orders: before.Orders.WithZonesOut(c.GetZonesOut())}
	for _, t := range c.GetTargets() {
		f.Targets = append(f.Targets, decodeTarget(t, begun))
	}
	d := difference(before, f)
	d.Orders = append(d.Orders, change...)
	s.apply(d, begun.Add(-span(c.GetAgeMillis())), false)
	return nil
}
