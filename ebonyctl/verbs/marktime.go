package verbs

import (
	"time"

	"ebonypaddle/pkg/conf"
)

// fillMarkTimes sets the times of marks for which a settings file has no time: to
// the time of the edit if the mark changes, else to the time in the store. A mark
// without a time would take effect at once on an instance that receives it, before
// other instances know of it.
func (a *App) fillMarkTimes(old, next *conf.Snapshot) {
	now := a.Now().UTC()
	for name, d := range next.Domains {
		oldDomain, ok := old.Domains[name]
		d.Since = markTime(ok, oldDomain.Mark == d.Mark, d.Since, oldDomain.Since, now)
		next.Domains[name] = d
	}
	for name, v := range next.Servers {
		oldServer, ok := old.Servers[name]
		ok = ok && oldServer.Addr == v.Addr && oldServer.Service == v.Service
		v.Since = markTime(ok, oldServer.Mark == v.Mark, v.Since, oldServer.Since, now)
		next.Servers[name] = v
	}
}

// markTime returns the time of a mark, see fillMarkTimes. exists reports whether the
// store has the record, sameMark whether it has the same mark.
func markTime(exists, sameMark bool, fileTime, storeTime, now time.Time) time.Time {
	switch {
	case !fileTime.IsZero() || !exists:
		return fileTime
	case sameMark:
		return storeTime
	}
	return now
}
