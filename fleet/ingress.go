package fleet

import (
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"

	"persimmonpick/ingress"
)

// receiveBuffer is what the kernel may hold of one connection of a caller. Jobs of usual size fit in it.
const receiveBuffer = 16 << 10

// memoryTarget is the part of the machine's memory from which on the garbage collector works harder.
const memoryTarget = 0.75

// newGate returns the gate for all listeners of a host.
func newGate(s Settings, m *metrics, logger *slog.Logger) *ingress.Gate {
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryTarget * float64(s.Memory)))
	}
	return ingress.New(ingress.Config{
		Limits: ingress.LimitsOf(s.Memory, s.MaxFiles), Refused: m.refused.Count, Logger: logger,
	})
}

// listen opens a listener for HTTP within the limits of the gate.
func (h *Host) listen(address string) (net.Listener, error) {
	l, err := h.cfg.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	if err := ingress.LimitReceiveBuffer(l, receiveBuffer); err != nil {
		h.logger.Warn("receive buffers of connections are not limited", "Address", address, "Error", err)
	}
	return h.gate.Listener(l), nil
}

func (h *Host) server(handler http.Handler) *http.Server {
	s := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(h.logger.Handler(), slog.LevelDebug),
	}
	h.gate.Attach(s)
	return s
}
