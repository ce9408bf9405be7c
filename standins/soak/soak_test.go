package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// soakLength keeps the runs in CI short; longer ones are started by hand.
const soakLength = 8 * time.Second

// Guards against regressions of faults that the soak has found: it runs every seed that has ever shown a violation,
// three at a time. seeds.txt lists the seeds with the cause of each.
func TestSoak(t *testing.T) {
	is := is.New(t)
	binary, err := build(t.TempDir())
	is.NoErr(err)
	slots := make(chan struct{}, 3)
	for _, l := range seeds(t) {
		t.Run(strconv.FormatUint(l.seed, 10), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			is := is.New(t)
			res, err := run(runConfig{
				Binary: binary, Dir: t.TempDir(), Seed: l.seed, Length: soakLength, Hosts: 3, Workers: l.workers, Callers: 4, Evacuate: l.plan == "evacuate", Logf: t.Logf,
			})
			is.NoErr(err)
			is.True(res.Jobs > 0)
			for _, v := range res.Violations {
				t.Error(v)
			}
		})
	}
}

// seedLine is a line of seeds.txt.
type seedLine struct {
	seed    uint64
	workers int
	plan    string // "evacuate" or nothing
}

func seeds(t *testing.T) []seedLine {
	f, err := os.Open("seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var all []seedLine
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		var l seedLine
		if _, err := fmt.Sscan(lines.Text(), &l.seed, &l.workers, &l.plan); err != nil {
			t.Fatal(err)
		}
		all = append(all, l)
	}
	return all
}
