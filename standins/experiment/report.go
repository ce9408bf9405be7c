package experiment

import (
	"cmp"
	"slices"
	"time"

	"persimmonpick/provider"
	"persimmonpick/table"
)

// inFlightReport is a report that was sent and not yet delivered.
type inFlightReport struct {
	arrives time.Duration
	rep     *provider.Report
}

// sendReports takes the reports that are due and schedules their delivery after a random lag. Workers report in turn,
// not all in the same step.
func (w *world) sendReports() {
	period := int(reportPeriod / step)
	for _, h := range w.hosts {
		if (int(w.elapsed/step)+h.index)%period != 0 {
			continue
		}
		lag := minLag + time.Duration(w.reportRNG.Float64()*float64(maxLag-minLag))
		w.inFlight = append(w.inFlight, inFlightReport{w.elapsed + lag, w.measure(h)})
	}
}

func (w *world) measure(h *host) *provider.Report {
	rep := &provider.Report{Worker: h.id, Taken: w.now()}
	for _, r := range h.runs {
		rep.Tasks = append(rep.Tasks, provider.TaskUsage{
			Task: r.task.ID, Token: r.token, Used: resources(r.used, r.model.memoryGB), Progress: r.done / r.model.work,
		})
	}
	for _, in := range h.instances {
		noise := w.reportRNG.NormFloat64()
		if w.noRequests || w.elapsed < reportWindow {
			continue
		}
		rep.Instances = append(rep.Instances, provider.InstanceUsage{
			Instance: in.record.ID, Load: in.load, P99: in.measuredP99(noise),
		})
	}
	return rep
}

// deliverReports passes the reports that have arrived to the controller, in order of arrival.
func (w *world) deliverReports() {
	slices.SortStableFunc(w.inFlight, func(a, b inFlightReport) int { return cmp.Compare(a.arrives, b.arrives) })
	n := 0
	for n < len(w.inFlight) && w.inFlight[n].arrives <= w.elapsed {
		if w.ctl.report != nil {
			w.ctl.report(w, w.inFlight[n].rep)
		}
		n++
	}
	w.inFlight = slices.Delete(w.inFlight, 0, n)
}

func (w *world) job(id table.TaskID) *table.Job {
	task := w.t.Tasks[id]
	if task == nil {
		return nil
	}
	return w.t.Jobs[task.Job]
}
