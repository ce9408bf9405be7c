package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in the settings of a small deployment.
const (
	recordBytes = 262144
	callBytes   = 2097152
	newestItems = 500
	newestBytes = 1 << 20
	keptAppends = 5
)

// storeRecord is a record of a topic as it was appended.
type storeRecord struct {
	key   string
	value []byte // empty drops the key
	raw   []byte
}

// storeTopic is partition 0 of a topic.
type storeTopic struct {
	keyed     bool
	first     int // offset of the first retained record
	records   []storeRecord
	newest    map[string]int // offset of the newest record of each key
	producers map[string]*storeProducer
	changed   chan struct{} // closed and replaced with each append
}

type storeProducer struct {
	epoch uint64
	next  int64
	last  []storeAppend
}

type storeAppend struct {
	sequence    int64
	offset, end int
}

// store stands in for the platform's store.
type store struct {
	rec     *record
	mu      sync.Mutex
	topics  map[string]*storeTopic
	refused int // appends over a size limit
}

func newStore(rec *record) *store { return &store{rec: rec, topics: map[string]*storeTopic{}} }

// topic returns a topic and creates it on first use; s.mu must be held.
func (s *store) topic(name string) *storeTopic {
	t := s.topics[name]
	if t == nil {
		t = &storeTopic{
			keyed: strings.HasPrefix(name, "keyed."), newest: map[string]int{}, producers: map[string]*storeProducer{},
			changed: make(chan struct{}),
		}
		s.topics[name] = t
	}
	return t
}

func (t *storeTopic) add(rs []storeRecord) {
	for _, r := range rs {
		if t.keyed {
			t.newest[r.key] = len(t.records)
			if len(r.value) == 0 {
				delete(t.newest, r.key)
			}
		}
		t.records = append(t.records, r)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// put appends a record of the operator or of a worker; a nil value drops the key.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		data = encode(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	s.topic(topic).add([]storeRecord{{key: key, value: data, raw: append(raw, data...)}})
}

// ServeHTTP serves one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/log-append":
		s.append(w, r)
	case "/-/log-read":
		s.read(w, r)
	case "/-/log-newest":
		s.newest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// forget drops the history of all topics; the newest record of each key stays.
func (s *store) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.first = len(t.records)
	}
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain values always encode
	}
	return data
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has disconnected.
	_, _ = w.Write(encode(body))
}

// split returns the records of an append, or false if one is cut off.
func split(body []byte, keyed bool) ([]storeRecord, bool) {
	var rs []storeRecord
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if len(body)-4 < n {
			return nil, false
		}
		r := storeRecord{raw: slices.Clone(body[4 : 4+n])}
		if keyed {
			if n == 0 || n-1 < int(r.raw[0]) {
				return nil, false
			}
			k := 1 + int(r.raw[0])
			r.key, r.value = string(r.raw[1:k]), r.raw[k:]
		}
		rs, body = append(rs, r), body[4+n:]
	}
	return rs, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	rs, ok := split(body, t.keyed)
	if !ok {
		answer(w, http.StatusBadRequest, map[string]string{"reason": "records"})
		return
	}
	total := 0
	for _, rec := range rs {
		total += len(rec.raw)
		if len(rec.raw) > recordBytes {
			s.refuse(w, "record", rec.key, len(rec.raw))
			return
		}
	}
	if total > callBytes {
		s.refuse(w, "call", "", total)
		return
	}
	p, done := t.producer(w, q.Get("producer"), q.Get("epoch"), q.Get("sequence"))
	if done {
		return
	}
	a := storeAppend{offset: len(t.records)}
	t.add(rs)
	a.end = len(t.records)
	if p != nil {
		a.sequence = p.next
		p.next++
		p.last = append(p.last, a)
		p.last = p.last[max(0, len(p.last)-keptAppends):]
	}
	answer(w, http.StatusOK, map[string]int{"offset": a.offset, "end": a.end})
}

// refuse answers an append over a limit; s.mu must be held.
func (s *store) refuse(w http.ResponseWriter, what, key string, size int) {
	s.refused++
	s.rec.printf("store: refused an append, %s %q of %d bytes is too large (number %d)", what, key, size, s.refused)
	answer(w, http.StatusRequestEntityTooLarge, map[string]string{"reason": what})
}

// producer returns the producer of an append, or nil if it names none. It answers repetitions and refused appends, and
// then returns true.
func (t *storeTopic) producer(w http.ResponseWriter, name, epochText, sequenceText string) (*storeProducer, bool) {
	if name == "" {
		return nil, false
	}
	epoch, err := strconv.ParseUint(epochText, 10, 64)
	sequence, err2 := strconv.ParseInt(sequenceText, 10, 64)
	if err != nil || err2 != nil {
		answer(w, http.StatusBadRequest, map[string]string{"reason": "producer"})
		return nil, true
	}
	p := t.producers[name]
	if p == nil || epoch > p.epoch {
		p = &storeProducer{epoch: epoch, next: sequence}
		t.producers[name] = p
	}
	if epoch < p.epoch {
		answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return nil, true
	}
	for _, a := range p.last {
		if a.sequence == sequence {
			answer(w, http.StatusOK, map[string]int{"offset": a.offset, "end": a.end})
			return nil, true
		}
	}
	if sequence != p.next {
		answer(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.next})
		return nil, true
	}
	return p, false
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	if err != nil || from < 0 {
		answer(w, http.StatusBadRequest, map[string]string{"reason": "from"})
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs")) // optional
	maxKB, err := strconv.Atoi(q.Get("maxKb"))
	if err != nil {
		maxKB = 1024
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for over := wait == 0; ; {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		changed, end := t.changed, len(t.records)
		first := t.first
		var page []byte
		if from < end || over {
			page = t.page(from, maxKB<<10)
		}
		s.mu.Unlock()
		if from < first {
			answer(w, http.StatusGone, map[string]int{"first": first})
			return
		}
		if page != nil {
			// An error means that the caller has disconnected.
			_, _ = w.Write(page)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (t *storeTopic) page(from, limit int) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	b = binary.BigEndian.AppendUint64(b, uint64(t.first))
	for _, r := range t.records[min(from, len(t.records)):] {
		if len(b) > 16 && len(b)+4+len(r.raw) > limit {
			break
		}
		b = binary.BigEndian.AppendUint32(b, uint32(len(r.raw)))
		b = append(b, r.raw...)
	}
	return b
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	var keys []string
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	items, size, more := []any{}, 0, false
	for _, k := range keys {
		rec := t.records[t.newest[k]]
		if len(items) == newestItems || len(items) > 0 && size+len(rec.value) > newestBytes {
			more = true
			break
		}
		size += len(rec.value)
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(rec.value), "offset": t.newest[k]})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": len(t.records)})
}
