package harness

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"persimmonpick/fault"
	"persimmonpick/provider"
)

// MaxBody is the largest accepted request body, in bytes.
const MaxBody = 16 << 20

// Mount serves the list at path: GET lists the faults, POST adds one, DELETE removes all or, at path/ID, one.
func (l *Faults) Mount(r *mux.Router, path string) {
	r.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
		WriteResponse(w, l.List(), nil)
	}).Methods(http.MethodGet)
	r.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if !Decode(w, r, &f) {
			return
		}
		id, err := l.Add(f)
		WriteResponse(w, map[string]int{"ID": id}, err)
	}).Methods(http.MethodPost)
	r.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
		l.Clear()
		WriteResponse(w, struct{}{}, nil)
	}).Methods(http.MethodDelete)
	r.HandleFunc(path+"/{id:[0-9]+}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.Atoi(mux.Vars(r)["id"])
		l.Remove(id)
		WriteResponse(w, struct{}{}, nil)
	}).Methods(http.MethodDelete)
}

// Decode decodes the JSON body of a request into v and rejects unknown fields. If that fails, it writes the error
// response and returns false.
func Decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		WriteResponse(w, nil, fault.Wrap(err, fault.Invalid, "body is not usable: %v", err))
		return false
	}
	return true
}

// WriteResponse writes v as JSON or, if err is not nil, the error code and message of err.
func WriteResponse(w http.ResponseWriter, v any, err error) {
	status := http.StatusOK
	if err != nil {
		k := fault.Of(err)
		status = k.Answer().Status
		v = provider.Refusal{Code: k.String(), Message: err.Error()}
	}
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
