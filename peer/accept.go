package peer

import (
	"errors"
	"log/slog"
	"net"
	"time"
)

const acceptRetryDelay = 50 * time.Millisecond // after a failed Accept

// acceptNext returns the next connection of ln, and an error only once ln is closed. Other errors pass, such as a want
// of file descriptors; ending the server for them would make this host look lost to its peers.
func acceptNext(ln net.Listener, logger *slog.Logger) (net.Conn, error) {
	for {
		conn, err := ln.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		logger.Warn("cannot accept a connection from a host", "Error", err)
		time.Sleep(acceptRetryDelay)
	}
}
