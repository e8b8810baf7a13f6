package platformwatch

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"reflect"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/configuration"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/pkg/platform"
)

// Timeouts and pauses of the watch.
const (
	// LongPollTimeout is how long one request to the platform waits for a change.
	LongPollTimeout = time.Second
	// minRetryPause is the shortest pause after a failed call; maxRetryPause limits the random time added to it.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 2 * time.Second
)

// Receiver is the daemon side of a Watcher.
type Receiver interface {
	// AcceptList puts a VM list in force if its revision is later than the present one's.
	AcceptList(l platform.VMList)
	// ConfirmTree and ConfirmList record that no later configuration or VM list was published at a time.
	ConfirmTree(at time.Time)
	ConfirmList(at time.Time)
}

// Watcher keeps a daemon's configuration and VM list up to date with the platform.
type Watcher struct {
	Source   platform.Source
	Receiver Receiver
	Acceptor *configuration.Acceptor
	Log      *zap.Logger

	branches        map[platform.Branch]json.RawMessage
	refusedRevision uint64
	listRevision    uint64
	// index is the latest one that was handled. A platform that was restored from a backup may publish another one under
	// its revision.
	index       platform.Index
	unavailable bool
}

// WatchList watches the list of VMs until the context ends.
func (w *Watcher) WatchList(ctx context.Context) {
	pause := minRetryPause
	for ctx.Err() == nil {
		pause = w.pauseAfter(ctx, pause, w.PollList(ctx, LongPollTimeout))
	}
}

// WatchTree watches the configuration until the context ends.
func (w *Watcher) WatchTree(ctx context.Context) {
	pause := minRetryPause
	for ctx.Err() == nil {
		err := w.PollTree(ctx, LongPollTimeout)
		w.logAvailability(err)
		pause = w.pauseAfter(ctx, pause, err)
	}
}

// pauseAfter waits for minRetryPause and a random time up to the pause if a call failed, and returns the next pause.
func (w *Watcher) pauseAfter(ctx context.Context, pause time.Duration, err error) time.Duration {
	if err == nil {
		return minRetryPause
	}
	timer := time.NewTimer(time.Duration(rand.Int64N(int64(pause))) + minRetryPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return min(2*pause, maxRetryPause)
}

func (w *Watcher) logAvailability(err error) {
	if (err != nil) == w.unavailable {
		return
	}
	w.unavailable = err != nil
	if w.unavailable {
		events.PlatformUnavailable.Log(w.Log, zap.Error(err))
		return
	}
	events.PlatformBack.Log(w.Log)
}

// PollList makes one long poll for the list of VMs.
func (w *Watcher) PollList(ctx context.Context, wait time.Duration) error {
	sent := time.Now()
	list, err := w.Source.VMs(ctx, w.listRevision, wait)
	if err != nil {
		return err
	}
	if list.Revision >= w.listRevision {
		w.listRevision = list.Revision
		w.Receiver.AcceptList(list)
		w.Receiver.ConfirmList(sent)
		return nil
	}
	return platform.Unavailable.New("platform returned VM list revision %d, older than revision %d", list.Revision, w.listRevision)
}

// PollTree makes one long poll for the configuration and fetches the subtrees that changed.
func (w *Watcher) PollTree(ctx context.Context, wait time.Duration) error {
	sent := time.Now()
	known := max(w.refusedRevision, w.Acceptor.Revision())
	index, err := w.Source.Index(ctx, known, wait)
	switch {
	case err != nil:
		return err
	case index.Revision < known:
		return platform.Unavailable.New("platform returned configuration revision %d, older than revision %d", index.Revision, known)
	case index.Revision > known || w.republished(index):
		if err := w.fetchTree(ctx, index); err != nil {
			return err
		}
	}
	w.index = index
	w.Receiver.ConfirmTree(sent)
	return nil
}

// republished reports whether an index differs from the one that was handled under its revision.
func (w *Watcher) republished(index platform.Index) bool {
	return index.Revision == w.index.Revision && !(reflect.DeepEqual(index.Fleet, w.index.Fleet) && lo.ElementsMatch(index.Branches, w.index.Branches))
}

// fetchTree fetches the subtrees that changed and offers the whole tree to the Acceptor.
func (w *Watcher) fetchTree(ctx context.Context, index platform.Index) error {
	if w.branches == nil {
		w.branches = map[platform.Branch]json.RawMessage{}
	}
	teams := map[string]json.RawMessage{}
	for _, b := range index.Branches {
		raw, ok := w.branches[b]
		if !ok {
			var err error
			if raw, err = w.Source.Team(ctx, b); err != nil {
				return err
			}
			w.branches[b] = raw
		}
		teams[b.Team] = raw
	}
	w.branches = lo.PickByKeys(w.branches, index.Branches)
	raw, err := json.Marshal(map[string]any{"revision": index.Revision, "fleet": index.Fleet, "teams": teams})
	if err != nil {
		w.refusedRevision = index.Revision
		events.ConfigurationRefused.Log(w.Log, zap.Error(err))
		return nil
	}
	offer := w.Acceptor.Offer
	if w.republished(index) {
		offer = w.Acceptor.OfferRepublished
	}
	w.refusedRevision = 0
	if _, refused := offer(raw, "platform").(configuration.Refused); refused {
		w.refusedRevision = index.Revision
	}
	return nil
}
