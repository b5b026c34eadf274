// Command scenes plays small deployments with the project's own program as real
// processes, and stand-ins for the platform, its hosts and its clients on loopback
// addresses. It exits with 1 if the rule of the scene was broken, with 0 if it held and
// with 2 if the scene could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const maxLength = 110 * time.Second

// scene plays one case. It returns lines for the record, and whether the rule broke.
type scene func(w *world, trouble bool) (summary []string, broken bool, err error)

var scenes = map[string]struct {
	zones []string
	play  scene
}{
	"cold-list":   {[]string{"fi-south-a", "fi-south-b", "fi-south-c", "fi-south-d"}, coldList},
	"cold-freeze": {[]string{"fi-south-a", "fi-south-b"}, coldFreeze},
	"silent-host": {[]string{"fi-south-a", "fi-south-b", "fi-south-c", "fi-south-d"}, silentHost},
	"moved-store": {[]string{"fi-south-a", "fi-south-b", "fi-south-c", "fi-south-d"}, movedStore},
	"cold-seeds":  {[]string{"bole", "kirkos", "yeka"}, coldSeeds},
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: scenes SCENE RECORD")
		return 2
	}
	s, ok := scenes[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such scene")
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(s.zones...)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		summary []string
		broken  bool
		err     error
	}
	done := make(chan result, 1)
	go func() {
		summary, broken, err := s.play(w, trouble)
		done <- result{summary, broken, err}
	}()
	var res result
	select {
	case res = <-done:
	case <-end:
		res.err = fmt.Errorf("stopped by a signal")
	case <-time.After(maxLength):
		res.err = fmt.Errorf("longer than %v", maxLength)
	}
	w.stopAll()
	if res.err != nil {
		w.printLogs()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
	if res.err != nil {
		fmt.Fprintln(os.Stderr, res.err)
		return 2
	}
	verdict := "the rule held"
	if res.broken {
		verdict = "the rule was broken"
	}
	summary := append([]string{fmt.Sprintf("scene %s, trouble %v: %s", os.Args[1], trouble, verdict)}, res.summary...)
	if err := w.writeRecord(os.Args[2], summary); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, l := range summary {
		fmt.Println(l)
	}
	if res.broken {
		return 1
	}
	return 0
}
