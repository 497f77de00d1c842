// Driver-2 plays the scripted cases of the second review: it starts halls and keepers as
// processes, and the store, engines and clients as stand-ins.
//
// # Usage
//
//	target/review-2 -case late-refusal -record review/6/record.txt [-trouble=false]
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitInvalid = 2
)

// maxDuration bounds a case, so that it ends all processes before it is ended itself.
const maxDuration = 110 * time.Second

// cases are the cases by name. A case returns what broke, nothing if the rule held.
var cases = map[string]func(s *site, trouble bool) (broken []string, err error){
	"late-refusal": lateRefusal,
	"resumed-turn": resumedTurn,
	"large-bodies": largeBodies,
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "Name of the case.")
	path := flag.String("record", "record.txt", "File to which the case writes what was sent, answered and run.")
	trouble := flag.Bool("trouble", true, "Whether the disruption happens.")
	flag.Parse()
	record, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	s, err := newSite(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	defer s.stop()
	scenario, found := cases[*name]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case")
		return exitInvalid
	}
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupts
		s.stop()
		os.Exit(exitInvalid)
	}()
	timer := time.AfterFunc(maxDuration, func() {
		record.printf("the case did not end in time")
		s.stop()
		os.Exit(exitInvalid)
	})
	defer timer.Stop()
	broken, err := scenario(s, *trouble)
	if err != nil {
		record.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	for _, line := range broken {
		record.printf("BROKEN: %s", line)
		fmt.Println("BROKEN:", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	record.printf("the rule held")
	fmt.Println("held")
	return exitHeld
}
