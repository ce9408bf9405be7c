package placement

import (
	"persimmonpick/journal"
	"persimmonpick/queue"
	"persimmonpick/table"
)

// Reasons for revoking leases on workers that are taken out of use.
const (
	ReasonDrained = "worker is drained"
	ReasonLeaving = "worker is leaving"
)

// maxVacated bounds the leases that one tick revokes on workers that are taken out of use, so that draining a
// rack does not delay other records.
const maxVacated = 128

// Vacate returns revocations of the leases on workers that are drained or leaving, so that their tasks move to
// other workers before these are shut down.
func Vacate(t *table.Tables, scan *queue.Scan) []journal.Record {
	var records []journal.Record
	for _, id := range table.SortedWorkers(t) {
		w := t.Workers[id]
		reason := vacateReason(t, w)
		if reason == "" {
			continue
		}
		for _, task := range scan.Held[id] {
			if task.State == table.TaskRevoking {
				continue
			}
			if len(records) == maxVacated {
				return records
			}
			records = append(records, journal.Record{LeaseRevoked: &journal.LeaseRevoked{
				Task: task.ID, Token: task.Lease.Token, Reason: reason,
			}})
		}
	}
	return records
}

// vacateReason returns why the leases on w are to be revoked, or "" if they are not.
func vacateReason(t *table.Tables, w *table.Worker) string {
	switch {
	case w.Gone:
		return "" // its leases end once it is found unreachable
	case t.Drained(w):
		return ReasonDrained
	case w.Leaving:
		return ReasonLeaving
	}
	return ""
}
