package queue

import (
	"time"

	"persimmonpick/table"
)

// Defaults of Config.
const (
	defaultWindow    = 256
	defaultSlack     = time.Minute
	defaultMaxBypass = 10 * time.Minute
	defaultRunTime   = 10 * time.Minute
)

// deadlineFactor scales the estimated run time when the latest start is derived from a deadline, as run times
// may turn out longer than estimated.
const deadlineFactor = 1.5

// Config holds the parameters of the order; zero fields take defaults.
type Config struct {
	Window int           // number of tasks at which Order stops
	Slack  time.Duration // time before its latest start from which a job with a deadline takes precedence
	// MaxBypass is the age until which a job blocked by the quota of its team lets younger jobs of the team pass.
	MaxBypass time.Duration

	// Need returns the resources to plan with for each task of j; nil means the declared ones.
	Need func(j *table.Job) table.Resources
	// RunTime returns the estimated run time of each task of j; nil means the declared one.
	RunTime func(j *table.Job) time.Duration
}

func (c Config) withDefaults() Config {
	if c.Window <= 0 {
		c.Window = defaultWindow
	}
	if c.Slack <= 0 {
		c.Slack = defaultSlack
	}
	if c.MaxBypass <= 0 {
		c.MaxBypass = defaultMaxBypass
	}
	if c.Need == nil {
		c.Need = declaredNeed
	}
	if c.RunTime == nil {
		c.RunTime = DeclaredRunTime
	}
	return c
}

func declaredNeed(j *table.Job) table.Resources {
	return j.Need
}

// DeclaredRunTime returns the declared run time of each task of j, or ten minutes if none is declared.
func DeclaredRunTime(j *table.Job) time.Duration {
	if j.RunTime <= 0 {
		return defaultRunTime
	}
	return time.Duration(j.RunTime) * time.Millisecond
}
