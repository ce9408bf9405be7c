package route

import (
	"io"
	"net/http"
	"slices"

	"persimmonpick/fault"
)

// checkHead rejects a response that belongs to another request or whose end cannot be detected.
func checkHead(res *http.Response, id string) error {
	echoed := res.Header.Values(requestIDHeader)
	if len(echoed) > 0 && !slices.Equal(echoed, []string{id}) {
		return fault.New(fault.BadAnswer, "answer is for request %q, not %q", echoed, id)
	}
	if res.StatusCode < http.StatusOK {
		return fault.New(fault.BadAnswer, "answer has status %d", res.StatusCode)
	}
	if res.StatusCode == http.StatusNoContent || res.StatusCode == http.StatusNotModified {
		return nil
	}
	chunked := len(res.TransferEncoding) > 0 && res.TransferEncoding[len(res.TransferEncoding)-1] == "chunked"
	if res.ContentLength < 0 && !chunked {
		return fault.New(fault.BadAnswer, "answer has neither a length nor chunks")
	}
	return nil
}

// readBody reads the complete body. The transport reports a body that is shorter than Content-Length or lacks
// the last chunk.
func readBody(res *http.Response, limit int64) ([]byte, error) {
	if res.ContentLength > limit {
		return nil, fault.New(fault.BadAnswer, "answer of %d bytes is over the limit of %d", res.ContentLength, limit)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.BadAnswer, "answer was cut off after %d bytes", len(body))
	}
	if int64(len(body)) > limit {
		return nil, fault.New(fault.BadAnswer, "answer is over the limit of %d bytes", limit)
	}
	return body, nil
}

func refused(res *http.Response) bool {
	return res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(RefusedHeader) != ""
}
