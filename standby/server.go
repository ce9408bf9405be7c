package standby

import (
	"time"

	"persimmonpick/ledger"
)

// Service is the name under which a Server is served to other hosts.
const Service = "Standby"

const methodHeartbeat = Service + ".Heartbeat"

// HeartbeatArgs is what a member says of itself.
type HeartbeatArgs struct {
	Member Member
	Reads  bool // the log
}

// HeartbeatReply is what a host knows of those that read the log.
type HeartbeatReply struct {
	Leader   ledger.Leader
	Standbys []Member
	Reads    bool          // this host reads the log
	Age      time.Duration // of its view of the log
	Leading  bool
	Follow   bool          // the member is to read the log; counts only from the leader
	Every    time.Duration // between calls; counts only from the leader
}

// usable says whether the answering host can be asked instead of the log.
func (r *HeartbeatReply) usable() bool { return r.Reads && r.Age < viewOldest }

// Server answers members; net/rpc exposes its methods.
type Server struct {
	a *Node
}

// NewServer returns a server that answers for the host of a.
func NewServer(a *Node) *Server { return &Server{a} }

// Heartbeat notes the caller and says who reads the log.
func (s *Server) Heartbeat(args HeartbeatArgs, reply *HeartbeatReply) error {
	*reply = s.a.answer(args, time.Now())
	return nil
}
