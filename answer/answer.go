package answer

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// retryAfter is the number of seconds that a client waits at least before it repeats a request.
const retryAfter = "1"

// Fault is the body of an answer that reports an error.
type Fault struct {
	Code    string    // stable code of the error kind
	Message string    // for people
	Ran     fault.Ran // whether the request was run
	Retry   bool      // whether the same request may be sent again
}

// Error answers with the row of the fault table for err.
func Error(w http.ResponseWriter, err error) {
	k := fault.Of(err)
	row := k.Answer()
	message := err.Error()
	if k == fault.Internal {
		// The details of an unexpected error are for the log alone.
		slog.Error("request failed", "Error", err.Error())
		message = "internal error"
	}
	if row.Retry {
		w.Header().Set("Retry-After", retryAfter)
	}
	JSON(w, row.Status, Fault{Code: row.Code, Message: message, Ran: row.Ran, Retry: row.Retry})
}

// JSON answers with v as JSON; the body is encoded whole before the first byte is sent.
func JSON(w http.ResponseWriter, status int, v any) {
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		slog.Error("answer not encoded", "Error", err.Error())
		http.Error(w, `{"Code":"Internal","Message":"internal error","Ran":"Unknown","Retry":false}`, http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	if _, err := w.Write(body.Bytes()); err != nil {
		slog.Debug("answer not sent", "Error", err.Error())
	}
}

// Decode reads one JSON value of at most limit bytes from the body of r; unknown names and further data are faults.
func Decode(r *http.Request, limit table.Bytes, v any) error {
	data, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fault.New(fault.TooLarge, "the body is larger than %d bytes", limit)
	}
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "read the body")
	}
	return DecodeBytes(data, v)
}

// DecodeBytes reads one JSON value; unknown names and further data are faults.
func DecodeBytes(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fault.Wrap(err, fault.Invalid, "decode JSON")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fault.New(fault.Invalid, "data after the end of the JSON value")
	}
	return nil
}
