package router

import (
	"time"

	shared "ebonypaddle/pkg/load"
)

// LoadReport returns what this instance reports of its load. ok is false if the
// settings do not call for it.
func (lb *Balancer) LoadReport(time.Time) (services []shared.Service, ok bool) { return nil, false }

// SetSums sets the load of the failure domain.
func (lb *Balancer) SetSums(time.Time, *shared.Sums) {}

// LoadTotals returns the load of this failure domain by service, and whether some
// service has much in progress.
func (lb *Balancer) LoadTotals(time.Time) (totals []shared.Total, pressed bool) { return nil, false }
