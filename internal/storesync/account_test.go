package storesync_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/platformstate"
)

func accepts(key string) func(platformstate.State) bool {
	return func(s platformstate.State) bool {
		_, ok := s.OperatorState.Table.Accounts().FindByKey(key)
		return ok
	}
}

// Guards against a revoked key that some daemon goes on accepting, or accepts again, because of a store or a peer that is behind.
func TestRevokedKeyStaysRevoked(t *testing.T) {
	revoke := func(f *fleet) { f.store.setVersion(2) }
	for _, c := range []struct {
		name string
		// revoke publishes version 2, which revokes the key of version 1. Daemons in behind can't know it before reconnect.
		revoke    func(f *fleet)
		behind    []int
		reconnect func(f *fleet)
	}{
		{"daemon partitioned from the store", func(f *fleet) {
			f.store.setDown("7", true)
			revoke(f)
		}, nil, func(f *fleet) { f.store.setDown("7", false) }},
		{"all but one partitioned from the store", func(f *fleet) {
			for i := range daemonCount - 1 {
				f.store.setDown(fmt.Sprint(i), true)
			}
			revoke(f)
		}, nil, func(f *fleet) {
			for i := range daemonCount - 1 {
				f.store.setDown(fmt.Sprint(i), false)
			}
		}},
		{"just before a restore of the store", func(f *fleet) {
			b := f.store.backup()
			revoke(f)
			time.Sleep(drainBound)
			f.store.setDown("", true)
			time.Sleep(time.Second)
			f.store.restore(b)
			f.store.setDown("", false)
		}, nil, func(*fleet) {}},
		{"while the store is being restored, by one daemon's copy", func(f *fleet) {
			b := f.store.backup()
			revoke(f)
			f.within(t, drainBound, []int{0}, func(s platformstate.State) bool { return !accepts(keyOf(1))(s) })
			f.store.restore(b)
		}, nil, func(*fleet) {}},
		{"peer that is behind returns", func(f *fleet) {
			f.store.setDown("0", true)
			f.setPartitioned(0, true)
			revoke(f)
		}, []int{0}, func(f *fleet) { f.setPartitioned(0, false) }},
		{"peer that is behind serves copies only", func(f *fleet) {
			f.store.setDown("3", true)
			f.setPartitioned(3, true)
			revoke(f)
			time.Sleep(drainBound)
			f.restart(5)
		}, []int{3}, func(f *fleet) { f.setPartitioned(3, false); f.restart(6) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(newStore())
				defer f.close()
				f.within(t, time.Millisecond, allDaemons(), accepts(keyOf(1)))
				c.revoke(f)
				f.within(t, drainBound, allDaemons(c.behind...), func(s platformstate.State) bool { return !accepts(keyOf(1))(s) && accepts(keyOf(2))(s) })
				c.reconnect(f)
				f.within(t, 2*drainBound, c.behind, accepts(keyOf(2)))
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					for i, s := range f.syncers {
						require.False(t, accepts(keyOf(1))(s.State()), "daemon %d", i)
					}
				}
			})
		})
	}
}
