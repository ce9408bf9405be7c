package peer

import (
	"crypto/tls"
	"log/slog"
	"net"
	"net/rpc"
	"sync"

	"persimmonpick/fault"
	"persimmonpick/share"
)

// maxConns limits the connections from peers: each of up to 9 seats needs one, and a second one briefly during a
// restart.
const maxConns = 64

// Server serves calls from peers.
type Server struct {
	rpc *rpc.Server
	ln  net.Listener
	log *slog.Logger

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// service is the net/rpc receiver.
type service struct {
	h Handlers
}

// Heartbeat exchanges heartbeats with a peer.
func (s *service) Heartbeat(args Heartbeat, reply *Heartbeat) error {
	*reply = s.h.Heartbeat(args)
	return nil
}

// Snapshot returns the tables of this host.
func (s *service) Snapshot(args SnapshotArgs, reply *SnapshotReply) error {
	r, err := s.h.Snapshot(args)
	*reply = r
	return encodeError(err)
}

// Burn returns the service-level counts that the caller lacks.
func (s *service) Burn(args BurnArgs, reply *BurnReply) error {
	*reply = s.h.Burn(args)
	return nil
}

// Reports returns usage reports of the workers that this host monitors.
func (s *service) Reports(args ReportsArgs, reply *ReportsReply) error {
	*reply = s.h.Reports(args)
	return nil
}

// Borrow lends slots of instances that this host owns.
func (s *service) Borrow(args share.BorrowRequest, reply *share.BorrowReply) error {
	r, err := s.h.Borrow(args)
	*reply = r
	return encodeError(err)
}

// Return takes back loaned slots.
func (s *service) Return(args share.ReturnRequest, _ *struct{}) error {
	s.h.Return(args)
	return nil
}

// Recall returns idle borrowed slots of an instance that the caller owns.
func (s *service) Recall(args share.RecallRequest, reply *share.RecallReply) error {
	*reply = s.h.Recall(args)
	return nil
}

// codeError is the code of a fault kind, since net/rpc transports errors as strings.
type codeError string

func (e codeError) Error() string { return string(e) }

func encodeError(err error) error {
	if err == nil {
		return nil
	}
	return codeError(fault.Of(err).String())
}

// Serve starts serving peers on ln, over TLS unless conf is nil; conf sets whether peers need certificates.
func Serve(ln net.Listener, conf *tls.Config, h Handlers, log *slog.Logger) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), ln: ln, log: log, conns: map[net.Conn]bool{}}
	if err := s.rpc.RegisterName("Peer", &service{h}); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "cannot register the peer service")
	}
	if conf != nil {
		s.ln = tls.NewListener(ln, conf)
	}
	go s.accept()
	return s, nil
}

func (s *Server) accept() {
	for {
		conn, err := acceptNext(s.ln, s.log)
		if err != nil {
			return
		}
		if !s.add(conn) {
			conn.Close()
			continue
		}
		go func() {
			s.rpc.ServeCodec(newServerCodec(conn))
			s.remove(conn)
		}()
	}
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxConns {
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close closes the listener and all connections from peers.
func (s *Server) Close() {
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
}
