package platform

import (
	"context"
	"time"

	"persimmonpick/fault"
	api "persimmonpick/provider"
	"persimmonpick/table"
)

const (
	maxEntryBytes  = 1 << 20
	maxPageBytes   = 4 << 20 // if the reader sets no limit
	maxPageEntries = 10_000
)

type logEntry struct {
	api.Entry
	appendedAt time.Time
}

type stream struct {
	entries  []logEntry
	end      table.Offset  // next offset
	appended chan struct{} // closed at the next append
}

func (s *Server) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{end: 1, appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (s *Server) append(ctx context.Context, name string, data []byte) (table.Offset, error) {
	if name == "" || len(data) > maxEntryBytes {
		return 0, fault.New(fault.Invalid, "append needs a stream and at most %d bytes", maxEntryBytes)
	}
	data = append([]byte(nil), data...)
	var off table.Offset
	err := s.call(ctx, "Log.Append", "", func(now time.Time) error {
		if !s.appendLimiter.AllowN(now, 1) {
			s.stats.AppendsRefused++
			return fault.New(fault.Overloaded, "more than %d appends a second", s.cfg.AppendsPerSecond)
		}
		st := s.stream(name)
		off = st.end
		st.entries = append(st.entries, logEntry{api.Entry{Offset: off, Data: data}, now})
		st.end++
		s.retain(st, now)
		close(st.appended)
		st.appended = make(chan struct{})
		return nil
	})
	if err != nil {
		return 0, err
	}
	return off, nil
}

func (s *Server) read(ctx context.Context, name string, from table.Offset, n int, wait time.Duration) (api.Page, error) {
	return s.readPage(ctx, api.ReadCall{Stream: name, From: from, Count: n, Wait: wait})
}

func (s *Server) readPage(ctx context.Context, c api.ReadCall) (api.Page, error) {
	if c.Stream == "" || c.From < 1 || c.Count < 1 {
		return api.Page{}, fault.New(fault.Invalid, "read needs a stream, an offset from 1 and a count from 1")
	}
	deadline := time.Now().Add(c.Wait)
	for {
		var p api.Page
		var appended <-chan struct{}
		changed := s.Faults.Changed()
		err := s.call(ctx, "Log.Read", "", func(now time.Time) (err error) {
			st := s.stream(c.Stream)
			s.retain(st, now)
			appended = st.appended
			p, err = st.page(c)
			return err
		})
		remaining := time.Until(deadline)
		if err != nil {
			return api.Page{}, err
		}
		if len(p.Entries) > 0 || remaining <= 0 {
			return p, nil
		}
		// Wait for an append or for a change of the faults: the next call then fails if an outage has begun.
		timer := time.NewTimer(remaining)
		select {
		case <-ctx.Done():
			timer.Stop()
			return api.Page{}, fault.Wrap(ctx.Err(), fault.LogUnavailable, "read was given up while it waited")
		case <-appended:
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (st *stream) oldest() table.Offset {
	return st.end - table.Offset(len(st.entries))
}

func (st *stream) page(c api.ReadCall) (api.Page, error) {
	p := api.Page{Oldest: st.oldest(), End: st.end}
	if c.From < p.Oldest {
		return p, fault.New(fault.NotFound, "offset %d of %s is no longer retained, the oldest is %d", c.From, c.Stream, p.Oldest)
	}
	if c.From >= st.end {
		return p, nil
	}
	limit := c.MaxBytes
	if limit <= 0 {
		limit = maxPageBytes
	}
	var size table.Bytes
	for _, e := range st.entries[c.From-p.Oldest:] {
		size += table.Bytes(len(e.Data))
		if len(p.Entries) == min(c.Count, maxPageEntries) || len(p.Entries) > 0 && size > limit {
			break
		}
		p.Entries = append(p.Entries, e.Entry)
	}
	return p, nil
}

// retain drops entries that exceed RetainEntries or are older than RetainFor.
func (s *Server) retain(st *stream, now time.Time) {
	if n := len(st.entries) - s.cfg.RetainEntries; n > 0 {
		st.entries = st.entries[n:]
	}
	oldest := now.Add(-millis(s.cfg.RetainFor))
	for len(st.entries) > 0 && st.entries[0].appendedAt.Before(oldest) {
		st.entries = st.entries[1:]
	}
}

// Truncate drops the entries of a stream below an offset.
func (s *Server) Truncate(name string, before table.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	for len(st.entries) > 0 && st.entries[0].Offset < before {
		st.entries = st.entries[1:]
	}
}
