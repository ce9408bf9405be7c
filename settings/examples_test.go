package settings

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against example files that are invalid, cause warnings, span too few availability zones or weigh tail latency
// differently from what each company wants: vakaoti puts it first, swan-coastal puts batch throughput first.
func TestExamples(t *testing.T) {
	for name, tailLatencyFirst := range map[string]bool{"vakaoti": true, "swan-coastal": false} {
		is := is.New(t)
		s, err := Load("../examples/" + name + ".json")
		is.NoErr(err)
		is.Equal(len(s.Warnings()), 0)
		is.Equal(s.Policy.LatencyWeight > 0.5, tailLatencyFirst)
		zones := map[string]bool{}
		for _, seat := range s.Seats {
			zones[string(seat.Zone)] = true
		}
		is.Equal(len(zones), 3)
	}
}
