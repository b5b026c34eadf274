package verbs

import (
	"time"

	"ebonypaddle/pkg/conf"
)

// stampMarks gives the marks of a settings file a time where the file has
// none: the time of the edit where the mark changes, else the one in the
// store. A mark without a time takes effect at once, ahead of instances that
// have not heard of it.
func (a *App) stampMarks(old, next *conf.Snapshot) {
	now := a.Now().UTC()
	for name, d := range next.Domains {
		was, ok := old.Domains[name]
		d.Since = since(ok, was.Mark == d.Mark, d.Since, was.Since, now)
		next.Domains[name] = d
	}
	for name, v := range next.Servers {
		was, ok := old.Servers[name]
		ok = ok && was.Addr == v.Addr && was.Service == v.Service
		v.Since = since(ok, was.Mark == v.Mark, v.Since, was.Since, now)
		next.Servers[name] = v
	}
}

func since(known, same bool, file, store, now time.Time) time.Time {
	switch {
	case !file.IsZero() || !known:
		return file
	case same:
		return store
	}
	return now
}
