package router

const (
	// maxLeftProcesses is the number of dropped server processes that are remembered
	// if they reported that they leave: 70 s of a release that replaces 140,000
	// servers in ten minutes.
	maxLeftProcesses = 1 << 14
	// maxGoneProcesses is that number for others. Thousands are dropped when the
	// store was away, and must not displace those that left.
	maxGoneProcesses = 1 << 12
)

// processKey names a server process.
type processKey struct {
	id        ServerID
	startedAt int64 // in Unix milliseconds
}

// lastRecord is what the last known record of a process said.
type lastRecord struct {
	sequence uint64
	leaving  bool
}

// endedProcesses holds the last records of dropped server processes. A store that comes
// back from an older copy may list an earlier record of one, and a write may be carried
// out late.
type endedProcesses struct {
	left, gone recent[processKey, lastRecord]
}

func (e *endedProcesses) start() {
	e.left = newRecent[processKey, lastRecord](maxLeftProcesses)
	e.gone = newRecent[processKey, lastRecord](maxGoneProcesses)
}

// add remembers the last record of a server. A server that does not say when it started is
// left out: the records of its next process look the same.
func (e *endedProcesses) add(s *Server) {
	if !s.saysStart() {
		return
	}
	memory := &e.gone
	if s.Leaving {
		memory = &e.left
	}
	memory.add(processKey{s.ID, s.StartedAt.UnixMilli()}, lastRecord{s.Sequence, s.Leaving})
}

// last returns the last record of the process of a record.
func (e *endedProcesses) last(s *Server) (lastRecord, bool) {
	k := processKey{s.ID, s.StartedAt.UnixMilli()}
	r, left := e.left.get(k)
	if g, gone := e.gone.get(k); gone && (!left || g.sequence > r.sequence) {
		return g, true
	}
	return r, left
}

// saysStart reports whether a record says when its process started.
func (s *Server) saysStart() bool { return s.StartedAt.UnixMilli() > 0 }
