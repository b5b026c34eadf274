package vtime_test

import (
	"fmt"
	"time"

	"ebonypaddle/pkg/vtime"
)

func ExampleClock() {
	c := vtime.Clock{Now: time.Unix(0, 0).UTC()}
	say := func(s string) func() { return func() { fmt.Println(c.Now.Format("05"), s) } }
	c.After(2*time.Second, say("second"))
	c.After(time.Second, func() {
		say("first")()
		c.After(time.Second, say("third, added later"))
	})
	c.After(time.Minute, say("not due"))
	c.RunFor(5 * time.Second)
	fmt.Println(c.Now.Format("05"))
	// Output:
	// 01 first
	// 02 second
	// 02 third, added later
	// 05
}
