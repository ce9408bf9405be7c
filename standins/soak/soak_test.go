package main

import (
	"bufio"
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
	for _, seed := range seeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			is := is.New(t)
			res, err := run(runConfig{
				Binary: binary, Dir: t.TempDir(), Seed: seed, Length: soakLength, Hosts: 3, Workers: 6, Callers: 4, Logf: t.Logf,
			})
			is.NoErr(err)
			is.True(res.Jobs > 0)
			for _, v := range res.Violations {
				t.Error(v)
			}
		})
	}
}

func seeds(t *testing.T) []uint64 {
	f, err := os.Open("seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var all []uint64
	for lines := bufio.NewScanner(f); lines.Scan(); {
		word, _, _ := strings.Cut(lines.Text(), " ")
		if word == "" || word == "#" {
			continue
		}
		seed, err := strconv.ParseUint(word, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, seed)
	}
	return all
}
