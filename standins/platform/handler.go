package platform

import (
	"errors"
	"net/http"

	"github.com/gorilla/mux"

	"persimmonpick/fault"
	api "persimmonpick/provider"
	"persimmonpick/standins/harness"
	"persimmonpick/table"
)

// Handler returns the HTTP handler for the platform's protocol and the admin paths.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(api.PathAppend, s.serveAppend).Methods(http.MethodPost)
	r.HandleFunc(api.PathRead, s.serveRead).Methods(http.MethodPost)
	r.HandleFunc(api.PathHosts, func(w http.ResponseWriter, r *http.Request) {
		l, err := s.list(r.Context())
		reply(w, l, err)
	}).Methods(http.MethodPost)
	for path, op := range s.workerPaths() {
		r.HandleFunc(path, serveWorker(op)).Methods(http.MethodPost)
	}
	s.mountAdmin(r)
	return r
}

// reply writes the response of a call. If a fault drops the response, it closes the connection instead.
func reply(w http.ResponseWriter, v any, err error) {
	if errors.Is(err, errDropped) {
		panic(http.ErrAbortHandler)
	}
	harness.WriteResponse(w, v, err)
}

func (s *Server) serveAppend(w http.ResponseWriter, r *http.Request) {
	var c api.AppendCall
	if !harness.Decode(w, r, &c) {
		return
	}
	off, err := s.append(r.Context(), c.Stream, c.Data)
	reply(w, api.AppendAnswer{Offset: off}, err)
}

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	var c api.ReadCall
	if !harness.Decode(w, r, &c) {
		return
	}
	p, err := s.readPage(r.Context(), c)
	reply(w, p, err)
}

type workerOp func(r *http.Request, c api.WorkerCall) (any, error)

func serveWorker(op workerOp) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c api.WorkerCall
		if !harness.Decode(w, r, &c) {
			return
		}
		v, err := op(r, c)
		reply(w, v, err)
	}
}

func (s *Server) workerPaths() map[string]workerOp {
	done := struct{}{}
	return map[string]workerOp{
		api.PathStart: func(r *http.Request, c api.WorkerCall) (any, error) {
			if c.Start == nil {
				return nil, fault.New(fault.Invalid, "Start is missing")
			}
			return done, s.start(r.Context(), c.Worker, *c.Start)
		},
		api.PathRenew: func(r *http.Request, c api.WorkerCall) (any, error) {
			return done, s.renew(r.Context(), c.Worker, c.Renewals)
		},
		api.PathStop: func(r *http.Request, c api.WorkerCall) (any, error) {
			return s.stop(r.Context(), c.Worker, c.Task, c.Token)
		},
		api.PathCheckpoint: func(r *http.Request, c api.WorkerCall) (any, error) {
			return done, s.checkpoint(r.Context(), c.Worker, c.Task, c.Token)
		},
		api.PathThrottle: func(r *http.Request, c api.WorkerCall) (any, error) {
			return done, s.throttle(r.Context(), c.Worker, c.Task, c.Token, c.Share)
		},
		api.PathReport: func(r *http.Request, c api.WorkerCall) (any, error) {
			return s.report(r.Context(), c.Worker)
		},
		api.PathForget: func(r *http.Request, c api.WorkerCall) (any, error) {
			return done, s.forget(r.Context(), c.Worker, c.Renewals)
		},
	}
}

// Truncation is the body of a request to drop the entries of a stream below an offset.
type Truncation struct {
	Stream string
	Before table.Offset
}

func (s *Server) mountAdmin(r *mux.Router) {
	s.Faults.Mount(r, "/faults")
	r.HandleFunc("/ledger", func(w http.ResponseWriter, _ *http.Request) {
		harness.WriteResponse(w, s.Ledger(), nil)
	})
	r.HandleFunc("/ledger/violations", func(w http.ResponseWriter, _ *http.Request) {
		harness.WriteResponse(w, s.Violations(), nil)
	})
	r.HandleFunc("/stats", func(w http.ResponseWriter, _ *http.Request) {
		harness.WriteResponse(w, s.Stats(), nil)
	})
	r.HandleFunc("/hosts", func(w http.ResponseWriter, r *http.Request) {
		var c HostChange
		if harness.Decode(w, r, &c) {
			s.ChangeHosts(c)
			harness.WriteResponse(w, struct{}{}, nil)
		}
	}).Methods(http.MethodPost)
	r.HandleFunc("/log/truncate", func(w http.ResponseWriter, r *http.Request) {
		var t Truncation
		if harness.Decode(w, r, &t) {
			s.Truncate(t.Stream, t.Before)
			harness.WriteResponse(w, struct{}{}, nil)
		}
	}).Methods(http.MethodPost)
}
