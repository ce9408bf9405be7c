package standby

import (
	"context"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"persimmonpick/fault"
	"persimmonpick/ledger"
)

// HostTopic names the log readers, so that a new host can find them without reading the jobs.
const HostTopic ledger.Topic = "keyed.hosts"

// hintKey is the key of the only record of HostTopic.
const hintKey = "Readers"

// hint is the last known set of log readers. It may be outdated and is verified by calling them.
type hint struct {
	Leader   ledger.Leader `cbor:"1,keyasint"`
	Standbys []Member      `cbor:"2,keyasint,omitempty"`
}

// readHint returns the hint, or false if no leader has written one.
func readHint(ctx context.Context, log ledger.Log) (hint, bool, error) {
	var h hint
	s, err := log.Newest(ctx, HostTopic, "")
	if err != nil {
		return h, false, err
	}
	for _, r := range s.Records {
		if r.Key != hintKey {
			continue
		}
		if err := cbor.Unmarshal(r.Value, &h); err != nil {
			return h, false, fault.Wrap(err, fault.PlatformFailed, "the hint record cannot be decoded")
		}
		return h, true, nil
	}
	return h, false, nil
}

func writeHint(ctx context.Context, log ledger.Log, h hint) error {
	data, err := cbor.Marshal(h)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "the hint cannot be encoded")
	}
	return log.Append(ctx, ledger.Append{Topic: HostTopic, Records: []ledger.Record{{Key: hintKey, Value: data}}})
}

func (h hint) equal(o hint) bool { return h.Leader == o.Leader && slices.Equal(h.Standbys, o.Standbys) }
