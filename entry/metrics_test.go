package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/queue"
	"persimmonpick/table"
)

// metricValue returns the sum of a counter or gauge over its labels.
func metricValue(is *is.I, m *metrics, name string) float64 {
	families, err := m.registry.Gather()
	is.NoErr(err)
	sum := 0.0
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, x := range f.GetMetric() {
			sum += x.GetCounter().GetValue() + x.GetGauge().GetValue()
		}
	}
	return sum
}

// Requests that are rejected because too many are in flight are answered with an error, so they count as one.
func TestLimitedRequestsCountAsErrors(t *testing.T) {
	is := is.New(t)
	h := capacityHost(table.New(), nil)
	h.control.publish()
	h.cfg.Limits.MaxInFlight = 0
	limited := (&callerAPI{host: h}).limitInFlight(http.NotFoundHandler())
	w := httptest.NewRecorder()
	limited.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/quotes", nil))
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(metricValue(is, h.metrics, "persimmonpick_errors_total"), 1.0)
}

// Of all hosts only the proposer exports the jobs that fit nowhere; a sum over the hosts would count them twice.
func TestFormerProposerExportsNoJobsThatFitNowhere(t *testing.T) {
	is := is.New(t)
	h := capacityHost(table.New(), nil)
	h.reportUnplaceable([]queue.UnplaceableJob{{Job: "j", Reason: "too large"}}, 1)
	is.Equal(metricValue(is, h.metrics, "persimmonpick_jobs_that_fit_nowhere"), 1.0)
	h.control.proposer.runFollower(table.New(), time.Now())
	is.Equal(metricValue(is, h.metrics, "persimmonpick_jobs_that_fit_nowhere"), 0.0)
}
