package journal

import (
	"context"
	"sync"
	"time"

	"persimmonpick/fault"
	"persimmonpick/provider"
	"persimmonpick/table"
)

// reply is what the fake log does with one append.
type reply int

const (
	replyOK    reply = iota
	replyLost        // the append takes effect and its reply is lost
	replyLate        // the append fails and takes effect a second later
	replyDown        // the append fails and never takes effect
	replyLarge       // the append is refused for good
	replyBusy        // the append is refused because of its rate
)

// fakeLog is a log in memory whose appends follow a script and which can be down or truncated.
type fakeLog struct {
	mu      sync.Mutex
	streams map[string][]provider.Entry
	oldest  map[string]table.Offset
	script  []reply // next appends; then all succeed
	down    bool
	changed chan struct{}
}

func newFakeLog() *fakeLog {
	return &fakeLog{streams: map[string][]provider.Entry{}, oldest: map[string]table.Offset{}, changed: make(chan struct{})}
}

func (l *fakeLog) log() provider.Log {
	return provider.Log{Append: l.append, Read: l.read}
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// truncate drops the entries of a stream before offset oldest.
func (l *fakeLog) truncate(stream string, oldest table.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.oldest[stream] = oldest
}

func (l *fakeLog) append(_ context.Context, stream string, data []byte) (table.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := replyOK
	if len(l.script) > 0 {
		next, l.script = l.script[0], l.script[1:]
	}
	if l.down {
		next = replyDown
	}
	switch next {
	case replyOK:
		return l.add(stream, data), nil
	case replyLost:
		l.add(stream, data)
	case replyLarge:
		return 0, fault.New(fault.TooLarge, "too large")
	case replyBusy:
		return 0, fault.New(fault.Overloaded, "too many appends")
	case replyLate:
		time.AfterFunc(time.Second, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.add(stream, data)
		})
	}
	return 0, fault.New(fault.LogUnavailable, "no reply")
}

// add appends data; the caller holds mu.
func (l *fakeLog) add(stream string, data []byte) table.Offset {
	off := table.Offset(len(l.streams[stream]) + 1)
	l.streams[stream] = append(l.streams[stream], provider.Entry{Offset: off, Data: data})
	close(l.changed)
	l.changed = make(chan struct{})
	return off
}

func (l *fakeLog) read(ctx context.Context, stream string, from table.Offset, n int, wait time.Duration) (provider.Page, error) {
	deadline := time.After(wait)
	for {
		page, changed, err := l.page(stream, from, n)
		if err != nil || len(page.Entries) > 0 || wait == 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-deadline:
			return page, nil
		case <-ctx.Done():
			return provider.Page{}, fault.Wrap(ctx.Err(), fault.LogUnavailable, "read")
		}
	}
}

func (l *fakeLog) page(stream string, from table.Offset, n int) (provider.Page, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return provider.Page{}, nil, fault.New(fault.LogUnavailable, "log is down")
	}
	oldest := max(l.oldest[stream], 1)
	if from < oldest {
		return provider.Page{}, nil, fault.New(fault.NotFound, "offset %d is truncated", from)
	}
	all := l.streams[stream]
	page := provider.Page{Oldest: oldest, End: table.Offset(len(all) + 1)}
	if from < page.End {
		page.Entries = all[from-1 : min(len(all), int(from)-1+n)]
	}
	return page, l.changed, nil
}

// host is one entry host in tests: a writer, a reader and the tables between them.
type host struct {
	mu      sync.Mutex
	t       *table.Tables
	writer  *Writer
	last    Delivery // newest delivery
	atEnd   int      // deliveries that reached the end
	applied []table.Offset
}

// startHost runs a host until ctx ends.
func startHost(ctx context.Context, l *fakeLog, inc table.Incarnation, peer func(context.Context) (*table.Tables, error)) *host {
	h := &host{writer: NewWriter(WriterConfig{Log: l.log(), Incarnation: inc, MaxQueue: 4, MaxBatch: 2000})}
	r := NewReader(ReaderConfig{Log: l.log(), Deliver: h.deliver, FromPeer: peer, Page: 8})
	go h.writer.Run(ctx)
	go r.Run(ctx)
	return h
}

func (h *host) deliver(d Delivery) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d.Tables != nil {
		h.t = d.Tables
		h.applied = append(h.applied, d.Tables.Applied)
		h.writer.Reloaded(d.Tables)
	}
	for _, e := range d.Entries {
		kinds := Apply(h.t, e.Offset, e.Batch)
		h.applied = append(h.applied, e.Offset)
		h.writer.BatchApplied(e.Offset, e.Batch, kinds)
	}
	if d.AtEnd {
		h.atEnd++
	}
	h.last = d
}

func (h *host) tables() *table.Tables {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.t == nil {
		return table.New()
	}
	return CloneTables(h.t)
}

func (h *host) newest() Delivery {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.last
}

// history returns the offsets of all tables and entries that were delivered, in order.
func (h *host) history() []table.Offset {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]table.Offset(nil), h.applied...)
}

// ends returns how many deliveries reached the end of the log.
func (h *host) ends() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.atEnd
}

// length returns the number of entries of a stream.
func (l *fakeLog) length(stream string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.streams[stream])
}
