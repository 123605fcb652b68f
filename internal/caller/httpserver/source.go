package httpserver

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/intake"
)

const (
	// readBufferBytes is the size of the buffer of a request's head, and largeReadBufferBytes that of the buffer
	// that replaces it for a larger head. It must hold the largest one.
	readBufferBytes      = intake.SmallBytes
	largeReadBufferBytes = DefaultHeadBytes + 4096
	// largeHeadBytes is the memory that a larger head takes, with its buffer.
	largeHeadBytes = readBufferBytes + largeReadBufferBytes + DefaultHeadBytes
	// writeBufferBytes holds the headers and the first part of a response, so
	// that both are sent together.
	writeBufferBytes = 4096
	// smallReadBytes is the size below which a read counts as one of few bytes. A request may have freeSmallReads
	// of them; those of all others together are limited to smallReadsPerSecond, by pauses of at most
	// smallReadPauseMillis.
	smallReadBytes       = 512
	freeSmallReads       = 32
	smallReadsPerSecond  = 1000
	smallReadPauseMillis = 200
)

// The buffers belong to a connection only while it uses them, as many connections are idle.
var (
	readBuffers  = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}
	writeBuffers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}
)

// source reads the bytes of a connection and counts them. It awaits a byte without a buffer.
type source struct {
	conn    net.Conn
	holding *intake.Holding
	// first is a byte that was awaited and not returned by Read yet; only if hasFirst is set.
	first    [1]byte
	hasFirst bool
	// smallReads is the number of reads of few bytes of the current request. pacer bounds those of all callers.
	smallReads int
	pacer      *rate.Limiter
}

// await waits for a byte.
func (s *source) await() error {
	if s.hasFirst {
		return nil
	}
	n, err := s.conn.Read(s.first[:])
	if n == 0 {
		return err
	}
	s.holding.Receive(n)
	s.hasFirst = true
	return nil
}

// Read reads bytes of the connection.
func (s *source) Read(p []byte) (int, error) {
	if !s.hasFirst || len(p) == 0 {
		n, err := s.conn.Read(p)
		s.holding.Receive(n)
		s.pace(n)
		return n, err
	}
	p[0] = s.first[0]
	s.hasFirst = false
	if len(p) == 1 {
		return 1, nil
	}
	// A request has more than one byte. An error comes again at the next read.
	n, _ := s.conn.Read(p[1:])
	s.holding.Receive(n)
	return n + 1, nil
}

// pace pauses after a read of few bytes if callers send many of them, so that the bytes of those who send them one by
// one come together.
func (s *source) pace(n int) {
	if n == 0 || n >= smallReadBytes || s.pacer == nil {
		return
	}
	s.smallReads++
	if s.smallReads > freeSmallReads {
		time.Sleep(min(s.pacer.Reserve().Delay(), smallReadPauseMillis*time.Millisecond))
	}
}

// takeReader gives the connection a buffer to read into, if it has none.
func (c *connection) takeReader() {
	if c.reader == nil {
		c.reader = readBuffers.Get().(*bufio.Reader)
		c.reader.Reset(&c.source)
	}
}

// releaseReader gives the buffer back if it holds nothing.
func (c *connection) releaseReader() {
	if c.reader != nil && c.reader.Buffered() == 0 {
		c.dropReader()
	}
}

// dropReader gives the buffer back with what it holds.
func (c *connection) dropReader() {
	if c.reader != nil && c.reader.Size() == readBufferBytes {
		c.reader.Reset(nil)
		readBuffers.Put(c.reader)
	}
	c.reader = nil
}

// awaitByte waits until a byte of the connection can be read.
func (c *connection) awaitByte() error {
	if c.hasBuffered() {
		return nil
	}
	return c.source.await()
}

// hasBuffered reports whether bytes were received that are not a part of the last request.
func (c *connection) hasBuffered() bool {
	return c.source.hasFirst || c.reader != nil && c.reader.Buffered() > 0
}

// enlargeReader replaces the buffer by a larger one with the same bytes.
func (c *connection) enlargeReader() error {
	seen, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	held := append([]byte(nil), seen...)
	c.dropReader()
	c.reader = bufio.NewReaderSize(&rest{held: held, source: &c.source}, largeReadBufferBytes)
	return nil
}

// rest reads bytes that were read before, and then those of the source.
type rest struct {
	held   []byte
	source io.Reader
}

// Read reads bytes.
func (r *rest) Read(p []byte) (int, error) {
	if len(r.held) == 0 {
		return r.source.Read(p)
	}
	n := copy(p, r.held)
	r.held = r.held[n:]
	if len(r.held) == 0 {
		r.held = nil
	}
	return n, nil
}

// takeWriter gives the connection a buffer to write into, if it has none.
func (c *connection) takeWriter() *bufio.Writer {
	if c.writer == nil {
		c.writer = writeBuffers.Get().(*bufio.Writer)
		c.writer.Reset(c.conn)
	}
	return c.writer
}

// releaseWriter gives the buffer back. What it holds is lost.
func (c *connection) releaseWriter() {
	if c.writer != nil {
		c.writer.Reset(nil)
		writeBuffers.Put(c.writer)
		c.writer = nil
	}
}
