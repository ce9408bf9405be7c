package standby

import (
	"time"

	"persimmonpick/ledger"
)

// Service is the name under which a Server is served to other hosts.
const Service = "Standby"

const methodHeartbeat = Service + ".Heartbeat"

// HeartbeatArgs is the heartbeat of a member.
type HeartbeatArgs struct {
	Member Member
	Reads  bool // the member reads the log
}

// HeartbeatReply is what the called host knows about the log readers.
type HeartbeatReply struct {
	Leader   ledger.Leader
	Standbys []Member
	Reads    bool          // the replying host reads the log
	Age      time.Duration // of the view of the log
	Leading  bool
	Follow   bool          // the member is to read the log; set only by the leader
	Every    time.Duration // between heartbeats; set only by the leader
}

// usable reports whether the replying host can be queried instead of the log.
func (r *HeartbeatReply) usable() bool { return r.Reads && r.Age < maxViewAge }

// Server serves the heartbeats of members; net/rpc exposes its methods.
type Server struct {
	node *Node
}

// NewServer returns a Server for the host of n.
func NewServer(n *Node) *Server { return &Server{n} }

// Heartbeat records the heartbeat of the caller and returns the log readers.
func (s *Server) Heartbeat(args HeartbeatArgs, reply *HeartbeatReply) error {
	*reply = s.node.handleHeartbeat(args, time.Now())
	return nil
}
