package burn

import "github.com/prometheus/client_golang/prometheus"

// Collector exports burn rates, remaining budgets and request counts of a report as Prometheus metrics.
type Collector struct {
	report func() Report
}

var (
	burnDesc     = prometheus.NewDesc("persimmonpick_burn_rate", "Burn rate of the error budget of a kind over a window, over all entry hosts.", []string{"kind", "window"}, nil)
	budgetDesc   = prometheus.NewDesc("persimmonpick_budget_left", "Share of the error budget left in the long window.", []string{"kind"}, nil)
	requestsDesc = prometheus.NewDesc("persimmonpick_window_requests", "Requests of a kind in the long window.", []string{"kind", "result"}, nil)
	missingDesc  = prometheus.NewDesc("persimmonpick_report_missing_hosts", "Configured entry hosts whose counts are missing.", nil, nil)
)

// NewCollector returns a collector that calls report on each scrape.
func NewCollector(report func() Report) *Collector {
	return &Collector{report}
}

// Describe implements prometheus.Collector.
func (*Collector) Describe(ch chan<- *prometheus.Desc) {
	ch <- burnDesc
	ch <- budgetDesc
	ch <- requestsDesc
	ch <- missingDesc
}

// Collect implements prometheus.Collector.
func (c *Collector) Collect(ch chan<- prometheus.Metric) {
	r := c.report()
	for _, k := range r.Kinds {
		kind := string(k.Kind)
		ch <- gauge(requestsDesc, float64(k.Long.Good), kind, "good")
		ch <- gauge(requestsDesc, float64(k.Long.Bad), kind, "bad")
		if k.Objective.Target <= 0 {
			continue
		}
		ch <- gauge(burnDesc, k.Short.Burn, kind, "short")
		ch <- gauge(burnDesc, k.Long.Burn, kind, "long")
		ch <- gauge(budgetDesc, k.BudgetLeft, kind)
	}
	ch <- gauge(missingDesc, float64(len(r.Missing)))
}

func gauge(desc *prometheus.Desc, value float64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
}
