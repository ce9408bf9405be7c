package route

import "bytes"

// received follows the bytes of one answer on a connection, to tell whether more came than its length says.
type received struct {
	head  []byte // bytes of the head so far
	ended bool   // the head is over
	body  int64  // bytes after the head
}

var headEnd = []byte("\r\n\r\n")

// add takes in the bytes of one read.
func (r *received) add(b []byte) {
	if r.ended {
		r.body += int64(len(b))
		return
	}
	if len(r.head)+len(b) > maxAnswerHeader {
		b = b[:max(0, maxAnswerHeader-len(r.head))] // the transport refuses such an answer
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
		r.ended = true
		r.body = int64(len(rest))
		r.head = nil
		return
	}
}

// informational says whether a head is that of an answer with status 1xx, which another answer follows.
func informational(head []byte) bool {
	_, status, ok := bytes.Cut(head, []byte(" "))
	return ok && len(status) > 0 && status[0] == '1'
}
