package experiment

import (
	"cmp"
	"slices"
	"time"

	"persimmonpick/provider"
	"persimmonpick/table"
)

// delayed is a report under way.
type delayed struct {
	at  time.Duration
	rep *provider.Report
}

// send measures and sends the reports that are due.
func (w *world) send() {
	period := int(reportPeriod / step)
	for _, h := range w.hosts {
		if (int(w.at/step)+h.index)%period != 0 {
			continue
		}
		lag := minLag + time.Duration(w.noise.Float64()*float64(maxLag-minLag))
		w.delayed = append(w.delayed, delayed{w.at + lag, w.measure(h)})
	}
}

func (w *world) measure(h *host) *provider.Report {
	rep := &provider.Report{Worker: h.id, Taken: w.now()}
	for _, r := range h.runs {
		rep.Tasks = append(rep.Tasks, provider.TaskUsage{
			Task: r.task.ID, Token: r.token, Used: resources(r.used, r.unit.gbs), Progress: r.done / r.unit.work,
		})
	}
	for _, in := range h.instances {
		noise := w.noise.NormFloat64()
		if w.quiet || w.at < reportWindow {
			continue
		}
		rep.Instances = append(rep.Instances, provider.InstanceUsage{
			Instance: in.e.ID, Load: in.load, P99: in.measuredP99(noise),
		})
	}
	return rep
}

// deliver hands over the reports that have arrived.
func (w *world) deliver() {
	slices.SortStableFunc(w.delayed, func(a, b delayed) int { return cmp.Compare(a.at, b.at) })
	n := 0
	for n < len(w.delayed) && w.delayed[n].at <= w.at {
		if w.ctl.report != nil {
			w.ctl.report(w, w.delayed[n].rep)
		}
		n++
	}
	w.delayed = slices.Delete(w.delayed, 0, n)
}

func (w *world) job(id table.TaskID) *table.Job {
	task := w.t.Tasks[id]
	if task == nil {
		return nil
	}
	return w.t.Jobs[task.Job]
}
