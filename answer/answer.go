package answer

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"

	"persimmonpick/fault"
	"persimmonpick/ingress"
	"persimmonpick/table"
)

// retryAfter is the minimum delay in seconds before a client repeats a request.
const retryAfter = "1"

// Fault is the body of an error response.
type Fault struct {
	Code    string    // stable code of the error kind
	Message string    // for people
	Ran     fault.Ran // whether the request was run
	Retry   bool      // whether the same request may be sent again
}

// Error writes the error response for err, with the status and code that the fault table gives for its kind.
func Error(w http.ResponseWriter, err error) {
	k := fault.Of(err)
	row := k.Answer()
	message := err.Error()
	if k == fault.Internal {
		// Log the details of an unexpected error but keep them from the client.
		slog.Error("request failed", "Error", err.Error())
		message = "internal error"
	}
	if row.Retry {
		w.Header().Set("Retry-After", retryAfter)
	}
	JSON(w, row.Status, Fault{Code: row.Code, Message: message, Ran: row.Ran, Retry: row.Retry})
}

// JSON writes v as a JSON response. It encodes the whole body first, so that an encoding error can set the status.
func JSON(w http.ResponseWriter, status int, v any) {
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		slog.Error("cannot encode response", "Error", err.Error())
		http.Error(w, `{"Code":"Internal","Message":"internal error","Ran":"Unknown","Retry":false}`, http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	if _, err := w.Write(body.Bytes()); err != nil {
		slog.Debug("cannot write response", "Error", err.Error())
	}
}

// Decode reads a JSON value of at most limit bytes from the body of r. Unknown fields and trailing data are errors.
func Decode(r *http.Request, limit table.Bytes, v any) error {
	data, err := ingress.ReadBody(nil, r, limit)
	if err != nil {
		return err
	}
	if err := ingress.ReserveDecoded(r, len(data)); err != nil {
		return err
	}
	return DecodeBytes(data, v)
}

// DecodeBytes reads a JSON value. Unknown fields and trailing data are errors.
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
