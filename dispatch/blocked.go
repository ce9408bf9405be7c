package dispatch

import (
	"cmp"
	"slices"
	"time"

	"persimmonpick/table"
	"persimmonpick/triage"
)

// blockedImage is a best-effort image of a service whose tasks wait although processors are idle.
type blockedImage struct {
	service table.ServiceID
	image   string
	cpu     float64 // millicores that its waiting tasks need
}

// blockedImages returns the images of steps that have long waited for a place and can still be of use, those that need
// most processors first. Steps that few workers can run for other reasons, such as a label, do not count.
func (sched *Scheduler) blockedImages(now time.Time) []blockedImage {
	var blocked []blockedImage
	for _, g := range sched.openGroups(func(g *group) bool { return !g.unplacedSince.IsZero() }) {
		q := g.job.queue
		if !g.step.BestEffort || !needOf(g.step, q).plain || now.Sub(g.unplacedSince) <= consolidateDelay {
			continue
		}
		if sched.outlook(g, now) == triage.Useless {
			continue
		}
		i := slices.IndexFunc(blocked, func(b blockedImage) bool { return b.service == q.Service && b.image == g.step.Image })
		if i < 0 {
			i = len(blocked)
			blocked = append(blocked, blockedImage{service: q.Service, image: g.step.Image})
		}
		blocked[i].cpu += float64(g.waitingTasks) * float64(g.step.Need.CPU)
	}
	slices.SortFunc(blocked, func(a, b blockedImage) int {
		return cmp.Or(cmp.Compare(b.cpu, a.cpu), cmp.Compare(a.service, b.service), cmp.Compare(a.image, b.image))
	})
	return blocked
}
