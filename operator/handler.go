package operator

import (
	"context"
	"log/slog"
	"mime"
	"net/http"

	"github.com/gorilla/mux"

	"persimmonpick/answer"
	"persimmonpick/fault"
	"persimmonpick/journal"
	"persimmonpick/table"
)

type handler struct {
	cfg Config
}

// handlerFunc writes the response to a request or returns the error to respond with.
type handlerFunc func(w http.ResponseWriter, r *http.Request) error

// NewHandler returns the handler of the operators' HTTP API.
func NewHandler(cfg Config) http.Handler {
	h := &handler{cfg}
	router := mux.NewRouter()
	router.HandleFunc("/v1/status", h.wrap(h.status)).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs", h.wrap(h.jobs)).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{ID}", h.wrap(h.job)).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{ID}", h.wrap(h.cancel)).Methods(http.MethodDelete)
	router.HandleFunc("/v1/workers", h.wrap(h.workers)).Methods(http.MethodGet)
	router.HandleFunc("/v1/plans", h.wrap(h.plan)).Methods(http.MethodPost)
	router.HandleFunc("/v1/plans/confirm", h.wrap(h.confirm)).Methods(http.MethodPost)
	router.HandleFunc("/v1/report", h.wrap(h.report)).Methods(http.MethodGet)
	router.HandleFunc("/v1/report.html", h.wrap(h.reportPage)).Methods(http.MethodGet)
	if cfg.Metrics != nil {
		router.HandleFunc("/metrics", h.wrap(h.metrics)).Methods(http.MethodGet)
	}
	router.NotFoundHandler = h.wrap(func(http.ResponseWriter, *http.Request) error {
		return fault.New(fault.NotFound, "no such path")
	})
	router.MethodNotAllowedHandler = h.wrap(func(_ http.ResponseWriter, r *http.Request) error {
		return fault.New(fault.Invalid, "the path does not take method %s", r.Method)
	})
	return router
}

// NewServer returns a server for the operators' HTTP API with timeouts against slow clients; the caller configures TLS.
func NewServer(cfg Config) *http.Server {
	return &http.Server{
		Handler:           NewHandler(cfg),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      requestTimeout + readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// wrap adapts do to an http.HandlerFunc: it authenticates the operator, sets the timeout and writes errors.
func (h *handler) wrap(do handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		r = r.WithContext(ctx)
		if err := h.serve(w, r, do); err != nil {
			answer.Error(w, err)
		}
	}
}

func (h *handler) serve(w http.ResponseWriter, r *http.Request, do handlerFunc) error {
	if h.cfg.Identity(r) == "" {
		return fault.New(fault.Unauthorized, "no operator is known for this connection")
	}
	if r.Method == http.MethodPost {
		// Guards against cross-site requests: browsers send other content types to foreign sites without a CORS
		// preflight and with the operator's client certificate.
		media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
		if err != nil || media != "application/json" {
			return fault.New(fault.Invalid, "Content-Type: must be application/json")
		}
	}
	return do(w, r)
}

// readTables runs read on the control goroutine; an error without a specific kind becomes fault.NotReady.
func (h *handler) readTables(ctx context.Context, read func(*table.Tables)) error {
	err := h.cfg.ReadTables(ctx, read)
	if err != nil && fault.Of(err) == fault.Internal {
		return fault.Wrap(err, fault.NotReady, "read the tables")
	}
	return err
}

// propose appends record to the log and returns its offset, or an error of the kind with which it was rejected when
// applied.
func (h *handler) propose(ctx context.Context, record journal.Record) (table.Offset, error) {
	result, err := h.cfg.Propose(ctx, []journal.Record{record})
	if err != nil && fault.Of(err) == fault.Internal {
		// An error without a kind does not say whether the record reached the log.
		return 0, fault.Wrap(err, fault.OutcomeUnknown, "write to the log")
	}
	if err != nil {
		return 0, err
	}
	switch kind := result.First(); kind {
	case fault.None:
		return result.Offset, nil
	case fault.Stale, fault.Conflict:
		return 0, fault.New(kind, "something else changed first: rejected at offset %d of the log; look again and make a new plan", result.Offset)
	default:
		return 0, fault.New(kind, "rejected at offset %d of the log", result.Offset)
	}
}

func (h *handler) metrics(w http.ResponseWriter, r *http.Request) error {
	h.cfg.Metrics.ServeHTTP(w, r)
	return nil
}

func (h *handler) report(w http.ResponseWriter, _ *http.Request) error {
	answer.JSON(w, http.StatusOK, h.cfg.Report())
	return nil
}

func (h *handler) reportPage(w http.ResponseWriter, _ *http.Request) error {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	if err := h.cfg.Report().WriteHTML(w); err != nil {
		slog.Error("report page not written", "Error", err.Error())
	}
	return nil
}
