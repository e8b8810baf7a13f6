package measure

import (
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/fakeplatform"
	"github.com/knapweedpoint/knapweedpoint/internal/fleetsim"
	"github.com/knapweedpoint/knapweedpoint/internal/layout"
)

// ControlPlane is the propagation time of a configuration and the load of the control plane.
type ControlPlane struct {
	// Propagation is the time from the publication of a configuration until it is in force at every daemon.
	Propagation time.Duration
	// PeakReads is the highest number of platform reads in one second, measured for 6 s after an outage, when all daemons
	// reconnect at once (thundering herd).
	PeakReads float64
	// BytesPerSecond and EnvelopesPerSecond are what one daemon sends to the others without request traffic. The bytes include
	// acknowledgements and HTTP headers.
	BytesPerSecond     float64
	EnvelopesPerSecond float64
}

// RunControlPlane runs and measures an idle fleet for 10 s, then a platform outage of 10 s at whose end a configuration is
// published. It must be called inside a synctest bubble.
func RunControlPlane(d layout.Deployment, seed uint64) ControlPlane {
	f := fleetsim.NewFleet(fleetsim.Options{Deployment: d, Seed: seed, StartWarm: true})
	defer f.Close()
	time.Sleep(warmUp)
	f.CountEnvelopeBytes()
	envelopesBefore, bytesBefore := sent(f)
	const periodSeconds = 10
	time.Sleep(periodSeconds * time.Second)
	envelopes, bytes := sent(f)
	out := ControlPlane{
		BytesPerSecond:     (float64(bytes-bytesBefore) + exchangeOverheadBytes*float64(envelopes-envelopesBefore)) / periodSeconds / float64(d.VMs),
		EnvelopesPerSecond: float64(envelopes-envelopesBefore) / periodSeconds / float64(d.VMs),
	}
	f.Platform.SetFaults(fakeplatform.Faults{Down: true})
	time.Sleep(periodSeconds * time.Second)
	f.Platform.SetFaults(fakeplatform.Faults{})
	f.Publish(f.Tree.WithRevision(f.Tree.Revision + 1))
	published, windowStart, reads := time.Now(), time.Now(), f.Platform.Reads()
	for range 600 {
		time.Sleep(10 * time.Millisecond)
		if time.Since(windowStart) >= time.Second {
			now := f.Platform.Reads()
			out.PeakReads = max(out.PeakReads, float64(now-reads))
			windowStart, reads = time.Now(), now
		}
		if out.Propagation == 0 && lo.EveryBy(f.Daemons, func(d *fleetsim.Daemon) bool { return d.Node.Acceptor.Revision() == f.Tree.Revision }) {
			out.Propagation = time.Since(published)
		}
	}
	return out
}

// exchangeOverheadBytes is the size of the acknowledgement and the HTTP headers of one exchange between daemons.
const exchangeOverheadBytes = 360

// sent returns the number of envelopes that the daemons have sent to each other and their total size.
func sent(f *fleetsim.Fleet) (envelopes, bytes int64) {
	for _, d := range f.Daemons {
		envelopes += d.Envelopes.Load()
		bytes += d.Bytes.Load()
	}
	return envelopes, bytes
}
