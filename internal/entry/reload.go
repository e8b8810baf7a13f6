package entry

import (
	"context"
	"reflect"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// settingsEvery is how often the settings file is read for changes that no signal told of.
const settingsEvery = time.Second

// watchSettings reloads the settings whenever they have changed, until ctx ends.
func (d *Daemon) watchSettings(ctx context.Context) error {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.reload("file changed")
		case <-ctx.Done():
			return nil
		}
	}
}

// reload reads the settings anew; seeds and rules take effect, addresses only after a restart.
func (d *Daemon) reload(why string) {
	next, err := d.o.Reload()
	if err != nil {
		events.SettingsRefused.Log(d.o.Log, zap.String("why", why), zap.Error(err))
		return
	}
	now := d.Settings()
	if reflect.DeepEqual(next, now) {
		return
	}
	d.settings.Set(&next)
	events.SettingsReloaded.Log(d.o.Log, zap.String("why", why), zap.Strings("seeds", next.Seeds), zap.Any("rules", next.Rules),
		zap.Bool("restartNeeded", addresses(next) != addresses(now)))
}

// addresses returns the settings that only a restart changes.
func addresses(e settings.Entry) [7]string {
	return [...]string{e.Name, e.Callers, e.Readiness, e.Peers, e.Metrics, e.Gossip, e.Store}
}
