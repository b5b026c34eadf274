package main

import (
	"sync"
	"sync/atomic"
	"time"
)

// load sends requests, each on a flow of its own.
type load struct {
	w                      *world
	sent, done, unanswered atomic.Int64
	stop                   chan struct{}
	wg                     sync.WaitGroup
}

// startLoad starts n clients that each send a request, and the next one pause after
// its end.
func (w *world) startLoad(n int, pause time.Duration, route int, method string, size int, deadline time.Duration) *load {
	l := &load{w: w, stop: make(chan struct{})}
	for range n {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			for {
				select {
				case <-l.stop:
					return
				case <-time.After(pause):
				}
				l.sent.Add(1)
				f, end := w.open(w.route(route))
				if end == answered {
					end = f.request(method, size, deadline)
				}
				if end != answered {
					l.unanswered.Add(1)
					continue
				}
				l.done.Add(1)
				f.close()
			}
		}()
		time.Sleep(pause / time.Duration(n))
	}
	return l
}

// end stops the clients and reports the totals.
func (l *load) end() {
	close(l.stop)
	l.wg.Wait()
	l.w.rec.say("%d requests sent, %d answered, %d not answered", l.sent.Load(), l.done.Load(), l.unanswered.Load())
}

// startAll starts the processes of all machines and waits until they are in touch.
func (w *world) startAll() error {
	for _, m := range w.machines {
		if err := m.start(true); err != nil {
			return err
		}
	}
	go w.pollReady()
	if err := w.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(contact)
	return nil
}
