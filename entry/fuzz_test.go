package entry

import (
	"testing"

	"persimmonpick/answer"
	"persimmonpick/journal"
	"persimmonpick/operator"
)

// Guards against bodies of callers and operators that end the process.
func FuzzBodies(f *testing.F) {
	f.Add(`{"Kind":"stock-tally","Tasks":1,"Need":{"CPU":2000,"Memory":1073741824},"RunTime":600000,"Deadline":"2026-12-05T06:00:00Z","Payload":{}}`)
	f.Add(`{"Type":"SetKind","Kind":{"ID":"quote","Class":"LatencyCritical","Service":"s"}}`)
	f.Add(`{"Type":"SetKind"}`)
	f.Fuzz(func(_ *testing.T, text string) {
		var job JobRequest
		_ = answer.DecodeBytes([]byte(text), &job)
		var in journal.Intent
		if answer.DecodeBytes([]byte(text), &in) == nil {
			_ = operator.Check(in)
		}
	})
}
