package commands

import (
	"time"

	"github.com/urfave/cli/v2"

	"persimmonpick/journal"
	"persimmonpick/operator"
	"persimmonpick/table"
)

func kindFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "remove", Usage: "remove the kind"},
		&cli.StringFlag{Name: "class", Usage: "LatencyCritical or Batch"},
		&cli.StringFlag{Name: "service", Usage: "service that answers requests"},
		&cli.StringFlag{Name: "path", Usage: "path of the request at the backend server"},
		&cli.BoolFlag{Name: "non-idempotent", Usage: "the kind is not idempotent, so its requests and tasks run at most once"},
		&cli.DurationFlag{Name: "max-wait", Usage: "longest time that a caller waits; 0 selects the default"},
		&cli.Float64Flag{Name: "target", Usage: "share of requests that must be good, for example 0.999"},
		&cli.DurationFlag{Name: "latency", Usage: "a request is good if it is answered within this time"},
	}
}

// kindIntent builds an intent that changes the fields given as flags and keeps the others of an existing kind.
func kindIntent(c *cli.Context) (journal.Intent, error) {
	if err := requireArgs(c, 1); err != nil {
		return journal.Intent{}, err
	}
	id := table.KindID(c.Args().First())
	if c.Bool("remove") {
		return journal.Intent{Type: journal.RemoveKind, Kind: &table.Kind{ID: id}}, nil
	}
	s, err := readStatus(c)
	if err != nil {
		return journal.Intent{}, err
	}
	k := currentKind(s, id)
	applyKindFlags(c, &k)
	return journal.Intent{Type: journal.SetKind, Kind: &k}, nil
}

func currentKind(s operator.Status, id table.KindID) table.Kind {
	for _, k := range s.Kinds {
		if k.ID == id {
			return k
		}
	}
	return table.Kind{ID: id}
}

func applyKindFlags(c *cli.Context, k *table.Kind) {
	if c.IsSet("class") {
		k.Class = table.Class(c.String("class"))
	}
	if c.IsSet("service") {
		k.Service = table.ServiceID(c.String("service"))
	}
	if c.IsSet("path") {
		k.Path = c.String("path")
	}
	if c.IsSet("non-idempotent") {
		k.NonIdempotent = c.Bool("non-idempotent")
	}
	if c.IsSet("max-wait") {
		k.Timeout = milliseconds(c.Duration("max-wait"))
	}
	if c.IsSet("target") {
		k.Objective.Target = c.Float64("target")
	}
	if c.IsSet("latency") {
		k.Objective.Latency = milliseconds(c.Duration("latency"))
	}
}

func milliseconds(d time.Duration) table.Millis {
	return table.Millis(d.Milliseconds())
}
