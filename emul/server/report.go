package server

import (
	"cmp"
	"encoding/hex"
	"slices"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// Counters counts what a server did.
type Counters struct {
	// Misrouted frames name another service, server or generation.
	Misrouted   uint64 `json:"misrouted"`
	UnknownFlow uint64 `json:"unknownFlow"`
	Late        uint64 `json:"late"`
	Expired     uint64 `json:"expired"`
	Shed        uint64 `json:"shed"`
	Cancelled   uint64 `json:"cancelled"`
	FellOver    uint64 `json:"fellOver"`
	// ColdExcess counts requests beyond what the server bears while cold.
	ColdExcess uint64 `json:"coldExcess"`
	// PeakCold is the most requests accepted at once while cold.
	PeakCold int `json:"peakCold"`
}

// Record tells how often a request ran.
type Record struct {
	ID   string `json:"id"`
	Runs int    `json:"runs"`
	// Body is that of the first run; Mixed tells that another run's differed.
	Body  []byte `json:"body"`
	Mixed bool   `json:"mixed,omitempty"`
}

// Report is what a server tells a checker.
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

func (h *Server) record(f *wire.Frame) {
	r := h.records[f.ID]
	if r == nil {
		r = &Record{ID: hex.EncodeToString(f.ID[:]), Body: slices.Clone(f.Body)}
		h.records[f.ID] = r
	}
	r.Runs++
	r.Mixed = r.Mixed || !slices.Equal(r.Body, f.Body)
}

// Report returns the records and counters, with records ordered by ID.
func (h *Server) Report() Report {
	rep := Report{
		Service: h.Service, ID: h.ID, Generation: h.Generation, Boot: h.boot,
		LastPacket: h.lastPacket, Flows: len(h.flows), Counters: h.count,
	}
	for _, r := range h.records {
		rep.Records = append(rep.Records, *r)
	}
	slices.SortFunc(rep.Records, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return rep
}

// Load returns the load report, which lags or misleads as Misreport says.
func (h *Server) Load(now time.Time) wire.Load {
	if h.reportAt.IsZero() || now.Sub(h.reportAt) >= time.Duration(h.Misreport.Lag) {
		h.report = wire.Load{
			InFlight: uint16(len(h.running) + len(h.queue)), Flows: uint16(min(len(h.flows), 1<<16-1)), Slots: uint16(h.Slots),
		}
		h.reportAt = now
	}
	l := h.report
	if h.Misreport.InFlight != nil {
		l.InFlight = *h.Misreport.InFlight
	}
	return l
}

// Health returns "down", "cold", "draining" or "ok" unless Misreport names another.
func (h *Server) Health(now time.Time) string {
	switch {
	case h.Misreport.Health != "":
		return h.Misreport.Health
	case now.Before(h.downUntil):
		return "down"
	case h.draining:
		return "draining"
	case h.cold(now):
		return "cold"
	}
	return "ok"
}
