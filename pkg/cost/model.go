// Package cost learns how much work requests are from the time that servers took for
// them. The time is the cost of the request's kind on a server of mean speed, times the
// slowness of the server. The package has no sockets, goroutines, clocks or randomness.
package cost

import "time"

const (
	// maxKeys and maxServers bound what a model keeps for one service. The largest
	// service has fewer servers in reach of an instance.
	maxKeys    = 256
	maxServers = 4096
	// Bounds of the work of a request, in nanoseconds.
	minWork, maxWork = float64(time.Microsecond), float64(time.Hour)
	// Bounds of the slowness of a server, so that one with odd observations does not
	// take the others with it in the mean.
	minSlowness, maxSlowness = 1.0 / 64, 64
	// keyPrior and serverPrior are the weights of the initial values, in observations.
	// A server's is higher, as a few requests of unknown cost say little of it.
	keyPrior, serverPrior = 1, 4
	// normalizeInterval is the number of observations after which the slowness of all
	// servers is brought to a mean of 1 again.
	normalizeInterval = 256
)

// Model is the cost of the requests of one service. Call Start first. It is not safe for
// concurrent use.
type Model struct {
	keys    table[uint32, keyCost]
	servers table[uint64, estimate]
	// mean is the mean work of all requests, in nanoseconds.
	mean keyCost
	// slowness is the sum of the values of all servers. Only the product of the value
	// of a key and that of a server is a work; results are brought to a mean slowness
	// of 1.
	slowness float64
	// start is the first time that is known, and now the latest, since start.
	start          time.Time
	now            time.Duration
	sinceNormalize int
}

// keyCost is what is known of one kind of requests: the mean work in nanoseconds, and
// how it is spread.
type keyCost struct {
	estimate
	spread
	// own is the weight of this instance's observations, at most 1/baseGain; known of
	// the estimate counts what others told as well.
	own float32
	// recent is the number of own observations. It halves each normalizeInterval
	// observations of the service.
	recent uint32
}

// Start prepares the tables.
func (m *Model) Start() {
	m.keys = newTable[uint32, keyCost](maxKeys)
	m.servers = newTable[uint64, estimate](maxServers)
}

// meanSlowness returns the mean of the values of the servers.
func (m *Model) meanSlowness() float64 {
	if m.servers.len() == 0 {
		return 1
	}
	return m.slowness / float64(m.servers.len())
}

// Observe learns from a request that did not wait at a server, and took a time there
// without the time on the path. Times that are not above zero are ignored.
func (m *Model) Observe(now time.Time, key Key, server uint64, work time.Duration) {
	if work <= 0 {
		return
	}
	m.advance(now)
	observed := min(max(float64(work), minWork), maxWork)
	if m.mean.value == 0 {
		m.mean = keyCost{estimate: estimate{value: observed}}
	}
	k, s := m.key(key.hash()), m.server(server)
	before := s.value
	ratio := observed / (k.value * s.value)
	m.mean.step(m.now, observed/(m.mean.value*s.value/m.meanSlowness()), keyPrior)
	m.mean.add(ratio)
	k.step(m.now, ratio, keyPrior)
	k.add(ratio)
	k.own = min(k.own+1, 1/baseGain)
	k.recent++
	s.step(m.now, ratio, serverPrior)
	mean := m.meanSlowness()
	s.value = min(max(s.value, minSlowness*mean), maxSlowness*mean)
	m.slowness += s.value - before
	if m.sinceNormalize++; m.sinceNormalize >= normalizeInterval {
		m.normalize()
	}
}

func (m *Model) advance(now time.Time) {
	if m.start.IsZero() {
		m.start = now
	}
	m.now = max(m.now, now.Sub(m.start))
}

// key returns what is known of a key, which is the service's mean for a new one.
func (m *Model) key(hash uint32) *keyCost {
	k := m.keys.use(hash)
	if k == nil {
		k = m.keys.add(hash)
		*k = keyCost{estimate: estimate{value: m.unknownKey(), at: m.now}}
	}
	if w := k.weight(m.now); w < 1 {
		k.own *= float32(w)
		if w == 0 {
			k.spread = spread{}
		}
		k.fade(m.now, m.unknownKey())
	}
	return k
}

// unknownKey returns the service's mean in the unit of the values of keys.
func (m *Model) unknownKey() float64 { return m.mean.value / m.meanSlowness() }

// server returns what is known of a server.
func (m *Model) server(id uint64) *estimate {
	s := m.servers.use(id)
	if s == nil {
		mean := m.meanSlowness()
		if m.servers.len() >= maxServers {
			m.Forget(m.servers.last())
		}
		s = m.servers.add(id)
		*s = estimate{value: mean, at: m.now}
		m.slowness += mean
		return s
	}
	before := s.value
	s.fade(m.now, m.meanSlowness())
	m.slowness += s.value - before
	return s
}

// normalize brings the mean slowness to 1 and halves the recent observations. The
// results stay the same.
func (m *Model) normalize() {
	m.sinceNormalize = 0
	sum := 0.0
	m.servers.all(func(_ uint64, s *estimate) { sum += s.value })
	mean := sum / float64(m.servers.len())
	m.slowness = 0
	m.servers.all(func(_ uint64, s *estimate) {
		s.value /= mean
		m.slowness += s.value
	})
	m.keys.all(func(_ uint32, k *keyCost) {
		k.value *= mean
		k.recent /= 2
	})
}

// Forget removes a server that is gone.
func (m *Model) Forget(server uint64) {
	s := m.servers.get(server)
	if s == nil {
		return
	}
	if m.servers.len() == 1 {
		m.normalize() // so that the next server begins in the unit of the keys
		m.slowness = 0
	} else {
		m.slowness -= s.value
	}
	m.servers.remove(server)
}

// Expected returns the mean work of the requests of a key on a server of mean speed. It
// is the service's mean for a key of which nothing was observed for a minute, and 0
// without any observation.
func (m *Model) Expected(key Key) time.Duration {
	if m.mean.value == 0 {
		return 0
	}
	return toDuration(m.expected(m.keys.get(key.hash())))
}

// expected returns the mean work in nanoseconds of a key, which is nil if it is unknown.
func (m *Model) expected(k *keyCost) float64 {
	if k == nil {
		return m.mean.value
	}
	return k.current(m.now, m.unknownKey()) * m.meanSlowness()
}

func toDuration(ns float64) time.Duration {
	return time.Duration(min(max(ns, minWork), maxWork))
}

// Slowness returns how many times as long as on a server of mean speed a request takes
// on a server. It is 1 for a server of which nothing was observed for a minute.
func (m *Model) Slowness(server uint64) float64 {
	s := m.servers.get(server)
	if s == nil {
		return 1
	}
	mean := m.meanSlowness()
	return s.current(m.now, mean) / mean
}
