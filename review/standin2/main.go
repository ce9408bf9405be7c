package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// playTime is the longest time that a case may take.
const playTime = 115 * time.Second

// cases holds the cases by name.
var cases = map[string]func(p *play) error{
	"twice":  playTwice,  // case 6
	"flap":   playFlap,   // case 7
	"limit":  playLimit,  // case 9
	"memory": playMemory, // case 10
	"label":  playLabel,
	"avail":  playAvail,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "case to play")
	bin := flag.String("bin", "target/persimmonpickd", "program of the entry hosts")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	logs := flag.String("logs", "", "directory for the logs of the entry hosts; a temporary one if empty")
	flag.Parse()
	c, known := cases[*name]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return notRun
	}
	rec, err := newRecorder(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer rec.close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, playTime)
	defer cancel()
	p := &play{ctx: ctx, rec: rec, bin: *bin, dir: *logs, trouble: os.Getenv("TROUBLE") != "0"}
	err = p.carryOut(c)
	if err != nil {
		rec.add("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return notRun
	}
	return p.verdict()
}

// verdict reports what was found and returns the exit status.
func (p *play) verdict() int {
	broken := p.rec.violations()
	slices.Sort(broken)
	p.rec.add("%d times broken", len(broken))
	if len(broken) > 0 {
		fmt.Printf("rule broken %d times; the first: %s\n", len(broken), broken[0])
		return ruleBroken
	}
	fmt.Println("rule held")
	return ruleHeld
}
