package server

import (
	"cmp"
	"encoding/hex"
	"slices"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// Counters counts a server's events since its creation; restarts don't reset
// them.
type Counters struct {
	// Misrouted counts frames that name another service, server or generation.
	Misrouted   uint64 `json:"misrouted"`
	UnknownFlow uint64 `json:"unknownFlow"`
	// Late counts frames that arrived after Deadline or Expires, and requests
	// whose deadline passed in the queue. Expired counts requests whose deadline
	// passed while they ran.
	Late      uint64 `json:"late"`
	Expired   uint64 `json:"expired"`
	Shed      uint64 `json:"shed"`
	Cancelled uint64 `json:"cancelled"`
	FellOver  uint64 `json:"fellOver"`
	// ColdExcess counts requests above the cold-start capacity.
	ColdExcess uint64 `json:"coldExcess"`
	// PeakCold is the largest number of requests accepted at once during a
	// cold start.
	PeakCold int `json:"peakCold"`
}

// Record counts the runs of one request.
type Record struct {
	ID   string `json:"id"`
	Runs int    `json:"runs"`
	// Body is the request body of the first run. Mixed is set if a later run
	// had another body.
	Body  []byte `json:"body"`
	Mixed bool   `json:"mixed,omitempty"`
}

// Report holds the state, counters and records of a server for the checks after
// a run.
type Report struct {
	Service    conf.ServiceID `json:"service"`
	ID         conf.ServerID  `json:"id"`
	Generation uint32         `json:"generation"`
	Boot       uint64         `json:"boot"`
	LastPacket time.Time      `json:"lastPacket"`
	Flows      int            `json:"flows"`
	Counters
	Records []Record `json:"records"`
}

func (s *Server) recordRun(f *wire.Frame) {
	r := s.records[f.ID]
	if r == nil {
		r = &Record{ID: hex.EncodeToString(f.ID[:]), Body: slices.Clone(f.Body)}
		s.records[f.ID] = r
	}
	r.Runs++
	r.Mixed = r.Mixed || !slices.Equal(r.Body, f.Body)
}

// Report returns the server's report, with records ordered by ID.
func (s *Server) Report() Report {
	rep := Report{
		Service: s.Service, ID: s.ID, Generation: s.Generation, Boot: s.boot,
		LastPacket: s.lastPacket, Flows: len(s.flows), Counters: s.counters,
	}
	for _, r := range s.records {
		rep.Records = append(rep.Records, *r)
	}
	slices.SortFunc(rep.Records, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return rep
}

// Load returns the load report. It lags or is wrong as set in Misreport.
func (s *Server) Load(now time.Time) wire.Load {
	if s.loadReportAt.IsZero() || now.Sub(s.loadReportAt) >= time.Duration(s.Misreport.Lag) {
		s.loadReport = wire.Load{
			InFlight: uint16(len(s.running) + len(s.queue)), Flows: uint16(min(len(s.flows), 1<<16-1)), Slots: uint16(s.Slots),
		}
		s.loadReportAt = now
	}
	l := s.loadReport
	if s.Misreport.InFlight != nil {
		l.InFlight = *s.Misreport.InFlight
	}
	return l
}

// Health returns "down", "draining", "cold" or "ok", or the state set in
// Misreport.
func (s *Server) Health(now time.Time) string {
	switch {
	case s.Misreport.Health != "":
		return s.Misreport.Health
	case now.Before(s.downUntil):
		return "down"
	case s.draining:
		return "draining"
	case s.isCold(now):
		return "cold"
	}
	return "ok"
}
