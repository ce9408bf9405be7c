package intake

import (
	"context"
	"time"

	"persimmonpick/fault"
	"persimmonpick/peer"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// Service is the name under which a Server is served to other hosts.
const Service = "Desk"

const (
	methodJob     = Service + ".Job"
	methodPending = Service + ".Pending"

	serveTimeout = 300 * time.Millisecond // of a question of another host, which waits a little longer
)

// JobArgs names a job.
type JobArgs struct {
	Job table.JobID
}

// JobReply is what a host knows of a job.
type JobReply struct {
	Kind string // of the error; see fault.Kind
	View View
}

// PendingArgs names a queue.
type PendingArgs struct {
	Queue workload.QueueID
}

// PendingReply is how many jobs of a queue wait.
type PendingReply struct {
	Kind  string // of the error; see fault.Kind
	Count int
}

// Server answers other hosts from the log that this host reads; net/rpc exposes its methods.
type Server struct {
	d *JobService
}

// NewServer returns a server for the questions that d can answer.
func NewServer(d *JobService) *Server { return &Server{d} }

// Job says what this host knows of a job.
func (s *Server) Job(args JobArgs, reply *JobReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	if !s.d.reads() {
		reply.Kind = fault.NotReady.String()
		return nil
	}
	v, err := s.d.read(ctx, args.Job)
	reply.View, reply.Kind = v, fault.Of(err).String()
	return nil
}

// Pending says how many jobs of a queue wait.
func (s *Server) Pending(args PendingArgs, reply *PendingReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	if !s.d.reads() {
		reply.Kind = fault.NotReady.String()
		return nil
	}
	n, err := s.d.count(ctx, args.Queue)
	reply.Count, reply.Kind = n, fault.Of(err).String()
	return nil
}

// reads says whether this host reads the log, so that a question does not make it load all of it.
func (d *JobService) reads() bool {
	_, loaded := d.cfg.Fold.Position()
	return loaded
}

// askJob asks another host about a job.
func (d *JobService) askJob(ctx context.Context, id table.JobID) (View, error) {
	var reply JobReply
	err := d.ask(ctx, func(ctx context.Context, l *peer.Link) error {
		reply = JobReply{}
		if err := l.Call(ctx, methodJob, JobArgs{id}, &reply); err != nil {
			return err
		}
		return answered(reply.Kind)
	})
	return reply.View, err
}

// askPending asks another host how many jobs of a queue wait.
func (d *JobService) askPending(ctx context.Context, q workload.QueueID) (int, error) {
	var reply PendingReply
	err := d.ask(ctx, func(ctx context.Context, l *peer.Link) error {
		reply = PendingReply{}
		if err := l.Call(ctx, methodPending, PendingArgs{q}, &reply); err != nil {
			return err
		}
		return answered(reply.Kind)
	})
	return reply.Count, err
}

func (d *JobService) ask(ctx context.Context, call func(ctx context.Context, l *peer.Link) error) error {
	if d.cfg.Ask == nil {
		return fault.New(fault.NotReady, "no other host is asked")
	}
	return d.cfg.Ask(ctx, call)
}

// answered returns the error that another host has answered.
func answered(kind string) error {
	if k := fault.ParseKind(kind); k != fault.None {
		return fault.New(k, "another host answers so")
	}
	return nil
}
