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

// action answers one request, or returns the error to answer with.
type action func(w http.ResponseWriter, r *http.Request) error

// NewHandler returns the operators' HTTP interface.
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

// NewServer returns a server of the operators' interface with deadlines on slow clients; the caller sets its TLS.
func NewServer(cfg Config) *http.Server {
	return &http.Server{
		Handler:           NewHandler(cfg),
		ReadHeaderTimeout: readTime,
		ReadTimeout:       readTime,
		WriteTimeout:      requestTime + readTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    maxHeader,
	}
}

// wrap checks the operator, bounds the time and turns an error into an answer.
func (h *handler) wrap(do action) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), requestTime)
		defer cancel()
		r = r.WithContext(ctx)
		if err := h.serve(w, r, do); err != nil {
			answer.Error(w, err)
		}
	}
}

func (h *handler) serve(w http.ResponseWriter, r *http.Request, do action) error {
	if h.cfg.Identity(r) == "" {
		return fault.New(fault.Unauthorized, "no operator is known for this connection")
	}
	if r.Method == http.MethodPost {
		// Browsers send other types to foreign sites without asking, with the operator's certificate.
		media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
		if err != nil || media != "application/json" {
			return fault.New(fault.Invalid, "Content-Type: must be application/json")
		}
	}
	return do(w, r)
}

// look runs read on the tables and reports a control goroutine that does not answer in time.
func (h *handler) look(ctx context.Context, read func(*table.Tables)) error {
	err := h.cfg.ReadTables(ctx, read)
	if err != nil && fault.Of(err) == fault.Internal {
		return fault.Wrap(err, fault.NotReady, "read the tables")
	}
	return err
}

// propose appends one record and returns its offset, or an error of the kind that the fold gave.
func (h *handler) propose(ctx context.Context, record journal.Record) (table.Offset, error) {
	result, err := h.cfg.Propose(ctx, []journal.Record{record})
	if err != nil && fault.Of(err) == fault.Internal {
		// Without a known kind the record may or may not be in the log.
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
