package route

import "bytes"

// responseCounter counts the bytes of one response on a connection, to detect bytes beyond its Content-Length.
type responseCounter struct {
	head      []byte // bytes of the header section read so far
	headDone  bool   // the header section is complete
	bodyBytes int64  // bytes after the header section
}

var headEnd = []byte("\r\n\r\n")

// add processes the bytes of one read.
func (r *responseCounter) add(b []byte) {
	if r.headDone {
		r.bodyBytes += int64(len(b))
		return
	}
	if len(r.head)+len(b) > maxResponseHeaderBytes {
		// The transport rejects a longer header section.
		b = b[:max(0, maxResponseHeaderBytes-len(r.head))]
	}
	r.head = append(r.head, b...)
	for {
		i := bytes.Index(r.head, headEnd)
		if i < 0 {
			return
		}
		rest := r.head[i+len(headEnd):]
		if informational(r.head) {
			r.head = bytes.Clone(rest)
			continue
		}
		r.headDone = true
		r.bodyBytes = int64(len(rest))
		r.head = nil
		return
	}
}

// informational reports whether head is that of a 1xx response, which is followed by another response.
func informational(head []byte) bool {
	_, status, ok := bytes.Cut(head, []byte(" "))
	return ok && len(status) > 0 && status[0] == '1'
}
