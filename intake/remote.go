package intake

import (
	"context"
	"time"

	"persimmonpick/fault"
	"persimmonpick/peer"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// Service is the net/rpc service name of a Server.
const Service = "Desk"

const (
	methodJob     = Service + ".Job"
	methodPending = Service + ".Pending"

	serveTimeout = 300 * time.Millisecond // of a query of another host, whose own timeout is longer
)

// JobArgs is the argument of Server.Job.
type JobArgs struct {
	Job table.JobID
}

// JobReply is the reply of Server.Job.
type JobReply struct {
	Kind   string // error kind; see fault.Kind
	Reason string // of an error; empty from hosts of earlier versions
	View   View
}

// PendingArgs is the argument of Server.Pending.
type PendingArgs struct {
	Queue workload.QueueID
}

// PendingReply is the reply of Server.Pending.
type PendingReply struct {
	Kind   string // error kind; see fault.Kind
	Reason string // of an error; empty from hosts of earlier versions
	Count  int
}

// Server answers queries of other hosts from the log view of this host; net/rpc exposes its methods.
type Server struct {
	jobs *JobService
}

// NewServer returns a server for the log view of jobs.
func NewServer(jobs *JobService) *Server { return &Server{jobs} }

// Job returns the state of a job; the kind of the reply is fault.NotReady if this host is no log reader.
func (s *Server) Job(args JobArgs, reply *JobReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	if !s.jobs.readsLog() {
		reply.Kind, reply.Reason = fault.NotReady.String(), notReader
		return nil
	}
	v, err := s.jobs.readJob(ctx, args.Job)
	reply.View, reply.Kind, reply.Reason = v, fault.Of(err).String(), reasonOf(err)
	return nil
}

// Pending returns the number of pending jobs of a queue; the kind of the reply is fault.NotReady if this host is no log
// reader.
func (s *Server) Pending(args PendingArgs, reply *PendingReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	if !s.jobs.readsLog() {
		reply.Kind, reply.Reason = fault.NotReady.String(), notReader
		return nil
	}
	n, err := s.jobs.countPending(ctx, args.Queue)
	reply.Count, reply.Kind, reply.Reason = n, fault.Of(err).String(), reasonOf(err)
	return nil
}

// readsLog reports whether this host is a log reader. Without this check a query would make it load the whole log.
func (s *JobService) readsLog() bool {
	_, loaded := s.cfg.View.Position()
	return loaded
}

// queryJob queries another host for the state of a job.
func (s *JobService) queryJob(ctx context.Context, id table.JobID) (View, error) {
	var reply JobReply
	err := s.query(ctx, func(ctx context.Context, l *peer.Link) error {
		reply = JobReply{}
		if err := l.Call(ctx, methodJob, JobArgs{id}, &reply); err != nil {
			return err
		}
		return replyError(l, reply.Kind, reply.Reason)
	})
	return reply.View, err
}

// queryPending queries another host for the number of pending jobs of a queue.
func (s *JobService) queryPending(ctx context.Context, q workload.QueueID) (int, error) {
	var reply PendingReply
	err := s.query(ctx, func(ctx context.Context, l *peer.Link) error {
		reply = PendingReply{}
		if err := l.Call(ctx, methodPending, PendingArgs{q}, &reply); err != nil {
			return err
		}
		return replyError(l, reply.Kind, reply.Reason)
	})
	return reply.Count, err
}

func (s *JobService) query(ctx context.Context, call func(ctx context.Context, l *peer.Link) error) error {
	if s.cfg.Query == nil {
		return fault.New(fault.NotReady, "no other host is asked")
	}
	return s.cfg.Query(ctx, call)
}

// replyError returns the error in a reply of the host that l calls.
func replyError(l *peer.Link, kind, reason string) error {
	k := fault.ParseKind(kind)
	if k == fault.None {
		return nil
	}
	if reason == "" {
		reason = "no reason given"
	}
	return fault.New(k, "the host at %s answers %s: %s", l.Address(), kind, reason)
}

// notReader is the reason of a host that does not answer queries.
const notReader = "it is no log reader"

// reasonOf returns the message of err, empty if there is none.
func reasonOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
