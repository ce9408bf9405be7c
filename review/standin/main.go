package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// timeLimit is how long a case may take.
const timeLimit = 115 * time.Second

// verdict is the result of a case: whether the rule was broken, or why the case could not run.
type verdict struct {
	broken bool
	err    error
}

var cases = map[string]func(rec *record, trouble bool, keep bool) verdict{
	"schedule": playSchedule,
	"times":    playTimes,
	"suspects": playSuspects,
	"long":     playLong,
	"gang":     playGang,
}

func main() {
	name := flag.String("case", "", "case to play")
	path := flag.String("record", "record.txt", "file for the record")
	keep := flag.Bool("keep", false, "keep the logs of the entry hosts in the temporary folder")
	flag.Parse()
	os.Exit(play(*name, *path, *keep))
}

func play(name, path string, keep bool) int {
	f := cases[name]
	if f == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return couldNot
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, disruption %v", name, trouble)
	// The entry hosts end with this process, see host.start.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan verdict, 1)
	go func() { result <- f(rec, trouble, keep) }()
	var v verdict
	select {
	case v = <-result:
	case <-stop:
		v.err = fmt.Errorf("interrupted")
	case <-time.After(timeLimit):
		v.err = fmt.Errorf("not over after %v", timeLimit)
	}
	switch {
	case v.err != nil:
		rec.printf("judge: the case could not run: %v", v.err)
		fmt.Println("could not run:", v.err)
		return couldNot
	case v.broken:
		rec.printf("judge: the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	}
	rec.printf("judge: the rule held")
	fmt.Println("the rule held")
	return held
}
