// Command standin plays one case of the review: it starts the processes of the system
// and stands in for the store, the routers, the hosts and the clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// maxTime ends a case that hangs.
const maxTime = 110 * time.Second

var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"entry":  unreadableEntry,
	"route":  addedRoute,
	"roll":   rolledMachines,
	"tokens": equalTokens,
	"copy":   incompleteCopy,
	"lapse":  lapsedEntry,
	"silent": silentHost,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play runs a case and returns the exit code: 1 if the rule was broken, 0 if it held
// and 2 if the case couldn't run.
func play(run func(*world, bool) (bool, error), dir string, trouble bool) int {
	w, err := newWorld(dir)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer w.end()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(w, trouble)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil && errors.Is(r.err, errSetup):
			w.rec.say("%v", r.err)
			return 2
		case r.err != nil:
			w.rec.say("%v", r.err)
			return 2
		case r.broken:
			w.rec.say("RULE BROKEN")
			return 1
		}
		w.rec.say("rule held")
		return 0
	case <-time.After(maxTime):
		w.rec.say("%v: it took too long", errSetup)
		return 2
	}
}
