package sidecar

import (
	"net"
	"net/http"
	"sync/atomic"
)

// credentialListener filters credentials on the connections of a sniffListener.
type credentialListener struct {
	sniffListener
	// hasTenants reports whether the configuration has tenants.
	hasTenants func() bool
}

// Accept returns the next connection.
func (l credentialListener) Accept() (net.Conn, error) {
	c, err := l.sniffListener.Accept()
	if sniffed, ok := c.(*sniffConn); ok && err == nil {
		sniffed.credentials.active = l.hasTenants
	}
	return c, err
}

// credentialFilter replaces control bytes in Authorization fields, with which net/http answers 400 before any handler runs. With the
// replacement, which no key contains, such a request gets the 401 of every other invalid key.
type credentialFilter struct {
	// active reports whether the filter applies, which is the case while the configuration has tenants; nil means never.
	active func() bool
	// afterHead is set between the end of a request's head and the next time at which the connection is idle.
	afterHead atomic.Bool
	// line holds the position in the current line: the number of matching bytes of authorizationField, inValue or otherField.
	line int
	// empty is set while the current line has no bytes.
	empty bool
}

const (
	authorizationField = "authorization:"
	inValue            = len(authorizationField)
	otherField         = -1
	// replacementByte may stand in a header value but not in a key.
	replacementByte = 0xff
)

// begin expects a new head.
func (f *credentialFilter) begin() { f.afterHead.Store(false) }

// apply filters bytes that were read from the connection.
func (f *credentialFilter) apply(data []byte) {
	if f.active == nil || f.afterHead.Load() || !f.active() {
		return
	}
	for i, b := range data {
		switch {
		case b == '\n':
			if f.empty {
				f.afterHead.Store(true)
				f.line, f.empty = 0, false
				return
			}
			f.line, f.empty = 0, true
		case b == '\r' && (i+1 == len(data) || data[i+1] == '\n'):
		case f.line == inValue:
			if b < ' ' && b != '\t' || b == 0x7f {
				data[i] = replacementByte
			}
		case f.line != otherField && authorizationField[f.line] == lower(b):
			f.line, f.empty = f.line+1, false
		default:
			f.line, f.empty = otherField, false
		}
	}
}

func lower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

// trackHeads makes the filters of connections expect a head when their connections are idle. It wraps a server's ConnState hook.
func trackHeads(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(c net.Conn, s http.ConnState) {
		if sniffed, ok := c.(*sniffConn); ok && s == http.StateIdle {
			sniffed.credentials.begin()
		}
		next(c, s)
	}
}
