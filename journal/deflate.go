package journal

import (
	"bytes"
	"compress/flate"
	"io"

	"persimmonpick/fault"
)

// maxImageBytes is the largest decompressed size of a snapshot.
const maxImageBytes = 1 << 30

// deflate compresses image. Field names and ids repeat in it, so even the fastest level shrinks it considerably.
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

// inflate reverses deflate; it rejects data that decompresses to more than maxImageBytes.
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
