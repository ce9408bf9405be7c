package ingress

import (
	"time"

	"persimmonpick/table"
)

// Limits bound what all clients of a process hold together.
type Limits struct {
	Held        table.Bytes // of requests that are not answered
	Connections int
	Unfinished  int         // connections whose request has not arrived whole
	Header      table.Bytes // of one request
	Rate        table.Bytes // per second, of a request that arrives for longer than Grace
	Grace       time.Duration
}

// Costs of clients, relative to what they send.
const (
	arrivalCost    = 2         // a buffer that grows holds its old and its new content for a moment
	decodedCost    = 6         // more, for what a whole body decodes to
	connectionCost = 16 << 10  // buffers and stacks, which weigh when connections are compared
	memoryParts    = 8         // a machine's memory is divided into so many parts, of which requests may hold one
	reservedFiles  = 200       // descriptors of a machine that are not for sockets
	defaultMemory  = 184 << 20 // of the smallest machine
	defaultFiles   = 4100
	defaultHeader  = 32 << 10
	defaultRate    = 16 << 10
	defaultGrace   = 10 * time.Second
)

// LimitsOf returns the limits for a machine; 0 means that of the smallest machine.
func LimitsOf(memory table.Bytes, files int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	if files <= reservedFiles {
		files = defaultFiles
	}
	l := Limits{Held: memory / memoryParts, Header: defaultHeader, Rate: defaultRate, Grace: defaultGrace}
	l.Connections = max(2, min((files-reservedFiles)/2, int(memory/memoryParts/connectionCost)))
	l.Unfinished = l.Connections / 2
	return l
}
