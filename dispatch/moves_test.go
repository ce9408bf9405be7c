package dispatch

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a run of which this leader has not heard that is logged with an age of three centuries.
func TestMoveOfARunNotHeardOfIsLoggedWithoutAges(t *testing.T) {
	is := is.New(t)
	r := newRig()
	var lines bytes.Buffer
	r.cfg.Log = slog.New(slog.NewTextHandler(&lines, nil))
	s := step(1)
	s.LongRunning = true
	r.submit("j", s)
	r.ensureWorker("a", r.now).assign(r.task(key("j", 0, 0)), running)
	info := r.workerInfo("a")
	info.Draining, info.LeavesIn = true, time.Minute
	r.SetWorker(info, r.now)
	r.supervise(r.now)
	is.True(strings.Contains(lines.String(), "Ran=Unknown Heard=Unknown"))
}
