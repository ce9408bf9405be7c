package peer

import (
	"bufio"
	"bytes"
	"io"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// maxMessage is the largest message from another host. It holds what one append to the log may hold, encoded.
const maxMessage = table.Bytes(4 << 20)

// messageReader reads the messages of a gob stream whole before it passes them on, since gob allocates what a message
// announces before it has arrived.
type messageReader struct {
	in  *bufio.Reader
	buf bytes.Buffer
}

func newMessageReader(r io.Reader) *messageReader { return &messageReader{in: bufio.NewReader(r)} }

// Read implements io.Reader.
func (m *messageReader) Read(p []byte) (int, error) {
	if err := m.fill(); err != nil {
		return 0, err
	}
	return m.buf.Read(p)
}

// ReadByte implements io.ByteReader, which keeps gob from buffering on its own.
func (m *messageReader) ReadByte() (byte, error) {
	if err := m.fill(); err != nil {
		return 0, err
	}
	return m.buf.ReadByte()
}

// fill reads the next message if the one before was read to its end.
func (m *messageReader) fill() error {
	if m.buf.Len() > 0 {
		return nil
	}
	m.buf.Reset()
	if m.buf.Cap() > 64<<10 {
		m.buf = bytes.Buffer{}
	}
	n, err := m.length()
	if err != nil {
		return err
	}
	_, err = io.CopyN(&m.buf, m.in, int64(n))
	return err
}

// length reads the length of a message and keeps its encoding for gob: one byte below 128, or the negated number of the
// bytes that follow.
func (m *messageReader) length() (uint64, error) {
	first, err := m.in.ReadByte()
	if err != nil {
		return 0, err
	}
	m.buf.WriteByte(first)
	if first < 0x80 {
		return uint64(first), nil
	}
	var n uint64
	for range -int(int8(first)) {
		b, err := m.in.ReadByte()
		if err != nil {
			return 0, err
		}
		m.buf.WriteByte(b)
		n = n<<8 | uint64(b)
		if n > uint64(maxMessage) {
			return 0, fault.New(fault.TooLarge, "a message from a host may have %d bytes", maxMessage)
		}
	}
	return n, nil
}
