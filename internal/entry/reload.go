package entry

import (
	"context"
	"reflect"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// settingsInterval is how often the settings file is polled for changes that no signal announced.
const settingsInterval = time.Second

// requestReload makes watchSettings read the settings at once. It never blocks.
func (d *Daemon) requestReload() {
	select {
	case d.reloads <- struct{}{}:
	default:
	}
}

// watchSettings polls the settings and applies changes until ctx ends.
func (d *Daemon) watchSettings(ctx context.Context) error {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.reload("file changed")
		case <-d.reloads:
			d.reload("signal")
		case <-ctx.Done():
			return nil
		}
	}
}

// reload reads the settings again. Changed seeds and rules take effect, changed addresses and
// overload settings only after a restart.
func (d *Daemon) reload(reason string) {
	next, err := d.options.Reload()
	if err != nil {
		events.SettingsRefused.Log(d.options.Log, zap.String("why", reason), zap.Error(err))
		return
	}
	current := d.Settings()
	if reflect.DeepEqual(next, current) {
		return
	}
	d.settings.Set(&next)
	events.SettingsReloaded.Log(d.options.Log, zap.String("why", reason), zap.Strings("seeds", next.Seeds), zap.Any("rules", next.Rules),
		zap.Bool("restartNeeded", restartSettings(next) != restartSettings(current) || next.Overload != current.Overload))
}

// restartSettings returns the settings whose changes take effect only after a restart.
func restartSettings(e settings.Entry) [7]string {
	return [...]string{e.Name, e.Callers, e.Readiness, e.Peers, e.Metrics, e.Gossip, e.Store}
}
