package relay

import (
	"context"
	"net"
	"time"

	"ebonypaddle/pkg/router"
	"ebonypaddle/pkg/wait"
)

const (
	// probeEvery is the interval at which failure domains that do not answer
	// are tried.
	probeEvery = 500 * time.Millisecond
	// probeTime bounds one try. It is many times the longest way.
	probeTime = 300 * time.Millisecond
)

// probe connects to one server of each failure domain that does not answer
// callers, to learn when it is reached again without costing a caller time.
func (r *Relay) probe(ctx context.Context) {
	var ps []router.Probe
	for ctx.Err() == nil {
		wait.Pause(ctx, probeEvery)
		r.mu.Lock()
		ps = r.Balancer.Probes(ps[:0])
		r.mu.Unlock()
		for _, p := range ps {
			if r.connects(ctx, p) {
				r.mu.Lock()
				r.Balancer.MarkReachable(r.Clock(), p.Domain)
				r.mu.Unlock()
			}
		}
	}
}

func (r *Relay) connects(ctx context.Context, p router.Probe) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp4", p.Target.Addr.String())
	if err != nil {
		r.Log.Info("failure domain not reached", "domain", p.Domain, "addr", p.Target.Addr, "err", err)
		return false
	}
	_ = c.Close()
	return true
}
