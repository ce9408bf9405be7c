package commands

import (
	"github.com/urfave/cli/v2"

	"persimmonpick/journal"
	"persimmonpick/operator"
	"persimmonpick/table"
)

const bytesPerGB = 1e9

func teamFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "remove", Usage: "remove the team"},
		&cli.Float64Flag{Name: "cpu", Usage: "CPU quota in cores"},
		&cli.Float64Flag{Name: "memory", Usage: "memory quota in GB"},
		&cli.IntFlag{Name: "accelerators", Usage: "quota of accelerators"},
		&cli.Float64Flag{Name: "weight", Usage: "share relative to other teams when work is queued", Value: 1},
		&cli.IntFlag{Name: "max-jobs", Usage: "maximum number of unfinished jobs; 0 means no limit"},
	}
}

// teamIntent builds an intent that changes the fields given as flags and keeps the others of an existing team.
func teamIntent(c *cli.Context) (journal.Intent, error) {
	if err := requireArgs(c, 1); err != nil {
		return journal.Intent{}, err
	}
	id := table.TeamID(c.Args().First())
	if c.Bool("remove") {
		return journal.Intent{Type: journal.RemoveTeam, Team: &table.Team{ID: id}}, nil
	}
	s, err := readStatus(c)
	if err != nil {
		return journal.Intent{}, err
	}
	team := currentTeam(s, id, c.Float64("weight"))
	applyTeamFlags(c, &team)
	return journal.Intent{Type: journal.SetTeam, Team: &team}, nil
}

func currentTeam(s operator.Status, id table.TeamID, weight float64) table.Team {
	for _, team := range s.Teams {
		if team.ID == id {
			return team
		}
	}
	return table.Team{ID: id, Weight: weight}
}

func applyTeamFlags(c *cli.Context, team *table.Team) {
	if c.IsSet("cpu") {
		team.Quota.CPU = table.Millicores(1000 * c.Float64("cpu"))
	}
	if c.IsSet("memory") {
		team.Quota.Memory = table.Bytes(bytesPerGB * c.Float64("memory"))
	}
	if c.IsSet("accelerators") {
		team.Quota.Accelerators = c.Int("accelerators")
	}
	if c.IsSet("weight") {
		team.Weight = c.Float64("weight")
	}
	if c.IsSet("max-jobs") {
		team.MaxJobs = c.Int("max-jobs")
	}
}
