package ingress

import (
	"net"
	"syscall"
)

type listener struct {
	net.Listener
	gate *Gate
}

// Listener returns a listener whose connections are held within the limits of g.
func (g *Gate) Listener(ln net.Listener) net.Listener { return &listener{ln, g} }

// Accept returns the next connection that finds room; others are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: conn, gate: l.gate}
		if l.gate.admit(c) {
			return c, nil
		}
		_ = conn.Close()
	}
}

// LimitReceiveBuffer bounds what the kernel holds for each connection of a TCP listener, since that counts as memory of
// the process. It has no effect on other listeners.
func LimitReceiveBuffer(ln net.Listener, bytes int) error {
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
	}); err != nil {
		return err
	}
	return failed
}
