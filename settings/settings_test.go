package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
)

const valid = `{
	"Seat": "s1", "Zone": "z1", "PlatformURL": "http://127.0.0.1:9000",
	"Seats": [{"ID": "s1", "Zone": "z1", "PeerAddress": "127.0.0.1:7001"}],
	"Callers": {"Address": "127.0.0.1:0", "Plain": true},
	"Operators": {"Address": "127.0.0.1:0", "Plain": true},
	"Peers": {"Address": "127.0.0.1:7001", "Plain": true}
}`

// Guards against a valid file that is refused, lost defaults, and settings that change when written and read again.
func TestValid(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(valid))
	is.NoErr(err)
	is.Equal(s.Timing, Default().Timing)
	is.Equal(len(s.Warnings()), 4) // one seat and three plain listeners
	data, err := json.Marshal(s)
	is.NoErr(err)
	again, err := Parse(data)
	is.NoErr(err)
	is.Equal(again.Timing, s.Timing)

	name := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(name, []byte(valid), 0o600))
	_, err = Load(name)
	is.NoErr(err)
	_, err = Load(name + ".missing")
	is.Equal(fault.Of(err), fault.Invalid)
}

// Guards against errors that report only the first fault of a settings file, or a fault without its path.
func TestAllFaultsAreNamedAtOnce(t *testing.T) {
	is := is.New(t)
	wrongNames := `{"seat": "s1", "Timing": {"Tack": "1s", "Tick": 5, "LeaseTerm": "soon"},
		"Seats": [{"ID": "s1", "Port": 1}, null], "TeamTokens": {"secret-token": 7}, "LogLevel": "info", "LogLevel": "info"}`
	is.Equal(parts(t, wrongNames), []string{
		"seat: unknown name",
		"Timing.Tack: unknown name",
		"Timing.Tick: must be a string, not a number",
		`Timing.LeaseTerm: time: invalid duration "soon"`,
		"Seats[0].Port: unknown name",
		"Seats[1]: must not be null",
		"TeamTokens[0]: must be a table.TeamID, not a number",
		"LogLevel: given twice",
	})
	wrongValues := strings.Replace(valid, `"127.0.0.1:7001"}]`, `"127.0.0.1:7001"},
		{"ID": "s1", "Zone": "z1", "PeerAddress": "127.0.0.1:7001"}, {"ID": "s3", "Zone": "z1", "PeerAddress": "host:1"}]`, 1)
	wrongValues = strings.Replace(wrongValues, `"Callers": {"Address": "127.0.0.1:0", "Plain": true}`,
		`"Callers": {"Address": "127.0.0.1:0", "Plain": true, "CertFile": "c"}, "TeamTokens": {"secret-token": ""}`, 1)
	wrongValues = strings.Replace(wrongValues, `"Operators": {"Address": "127.0.0.1:0", "Plain": true}`,
		`"Operators": {"Address": "127.0.0.1:0", "CertFile": "c", "KeyFile": "k"}, "Policy": {"LatencyWeight": 1.5},
		"Timing": {"LeaseTerm": "500ms", "Heartbeat": "3s", "MaxRequestTime": "10s", "KeyRetention": "1m30s", "RequestTimeout": "11s"}, "Limits": {"MaxBody": 0}`, 1)
	is.Equal(parts(t, wrongValues), []string{
		`Seats[1].ID: "s1" is listed twice`,
		"Seats[1].PeerAddress: 127.0.0.1:7001 is listed twice",
		`Seats[2].PeerAddress: must be an IP number and a port, not "host:1"`,
		"Callers.CertFile: must not be set together with Plain",
		"Operators.CAFile: must be set unless Plain is true",
		"TeamTokens[0]: the team must not be empty",
		"Limits.MaxBody: must be above 0",
		"Timing.LeaseTerm: must be at least 1s",
		"Timing.KeyRetention: must be at least 1m40s (10 times MaxRequestTime)",
		"Timing.PeerTimeout: must be above 3s (Heartbeat)",
		"Timing.LeaseTerm: must be above 1.5s (3 times ClockBound)",
		"Timing.LeaseTerm: must be above 2s (2 times ReportPeriod)",
		"Timing.RequestTimeout: must be at most 10s (MaxRequestTime)",
		"Policy.LatencyWeight: must be between 0 and 1",
	})
}

// parts parses an invalid file, checks that the error reveals no token, and returns its faults.
func parts(t *testing.T, text string) []string {
	t.Helper()
	_, err := Parse([]byte(text))
	is := is.New(t)
	is.Equal(fault.Of(err), fault.Invalid)
	is.True(!strings.Contains(err.Error(), "secret-token"))
	return strings.Split(strings.TrimPrefix(err.Error(), "settings: "), "; ")
}

// Guards against a time or size setting without a check: all of them must be refused at zero.
func TestZeroBoundsAreRefused(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(valid))
	is.NoErr(err)
	s.Timing, s.Limits = Timing{}, Limits{}
	text := s.Check().Error()
	is.Equal(strings.Count(text, "must be above 0;"), 27) // 17 times and 10 limits
}

// FuzzParse guards against panics on any input, and against accepted settings that violate assumptions of the fence.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"Timing":{"LeaseTerm":"1s"},"Seats":[{}],"TeamTokens":{"a":"b"}}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err != nil {
			if fault.Of(err) != fault.Invalid {
				t.Fatalf("kind %v", fault.Of(err))
			}
			return
		}
		if s.Timing.LeaseTerm.D() <= 3*s.Timing.ClockBound.D() || s.Timing.KeyRetention.D() < time.Minute || len(s.Seats) == 0 {
			t.Fatalf("accepted %+v", s)
		}
	})
}
