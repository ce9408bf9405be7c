package route

import "bytes"

// responseCounter follows the bytes of one answer on a connection, to tell whether more came than its length says.
type responseCounter struct {
	head      []byte // bytes of the head so far
	headDone  bool   // the head is over
	bodyBytes int64  // bytes after the head
}

var headEnd = []byte("\r\n\r\n")

// add takes in the bytes of one read.
func (r *responseCounter) add(b []byte) {
	if r.headDone {
		r.bodyBytes += int64(len(b))
		return
	}
	if len(r.head)+len(b) > maxResponseHeaderBytes {
		b = b[:max(0, maxResponseHeaderBytes-len(r.head))] // the transport refuses such an answer
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

// informational says whether a head is that of an answer with status 1xx, which another answer follows.
func informational(head []byte) bool {
	_, status, ok := bytes.Cut(head, []byte(" "))
	return ok && len(status) > 0 && status[0] == '1'
}
