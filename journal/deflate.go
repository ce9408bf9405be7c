package journal

import (
	"bytes"
	"compress/flate"
	"io"

	"persimmonpick/fault"
)

// maxImageBytes bounds the bytes that a snapshot may inflate to.
const maxImageBytes = 1 << 30

// deflate compresses image; field names and ids repeat in it, so that even the fastest level makes it far smaller.
func deflate(image []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "compress snapshot: %v", err)
	}
	if _, err := w.Write(image); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "compress snapshot: %v", err)
	}
	if err := w.Close(); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "compress snapshot: %v", err)
	}
	return out.Bytes(), nil
}

// inflate is the reverse of deflate; it refuses data that inflates beyond maxImage.
func inflate(body []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(body))
	image, err := io.ReadAll(io.LimitReader(r, maxImageBytes+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "inflate snapshot: %v", err)
	}
	if len(image) > maxImageBytes {
		return nil, fault.New(fault.Invalid, "snapshot inflates beyond %d bytes", maxImageBytes)
	}
	return image, nil
}
