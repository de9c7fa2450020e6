// Package heartbeat carries renewals and grants between holders and grantors
// as authenticated datagrams over gnet UDP. It never decides anything.
package heartbeat

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/wire"
)

const (
	// MaxDatagramBytes keeps a datagram in one packet on every network, and bounds what is hashed.
	MaxDatagramBytes = 256

	// tagBytes is the length of the truncated HMAC-SHA256 in front of each message. A forger needs
	// 2^63 datagrams on average.
	tagBytes = 8
)

// Codec seals and opens datagrams with the cluster secret. It may be used by several goroutines.
type Codec struct {
	hashes sync.Pool
}

// NewCodec returns a codec for the cluster secret.
func NewCodec(secret []byte) *Codec {
	c := &Codec{}
	c.hashes.New = func() any { return hmac.New(sha256.New, secret) }
	return c
}

// Seal appends the sealed message to buffer.
func (c *Codec) Seal(buffer []byte, d *wire.Datagram) ([]byte, error) {
	start := len(buffer)
	buffer = append(buffer, make([]byte, tagBytes)...)
	buffer, err := proto.MarshalOptions{}.MarshalAppend(buffer, d)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "Use valid UTF-8 in node names.", "encode a heartbeat")
	}
	size := len(buffer) - start
	if size > MaxDatagramBytes {
		return nil, errs.New(errs.TooLarge, "Use shorter node names.",
			"heartbeat has %d bytes, more than %d", size, MaxDatagramBytes)
	}
	var sum [sha256.Size]byte
	copy(buffer[start:], c.tag(sum[:0], buffer[start+tagBytes:]))
	return buffer, nil
}

// Open checks a datagram and decodes its message.
func (c *Codec) Open(datagram []byte) (*wire.Datagram, error) {
	if len(datagram) > MaxDatagramBytes || len(datagram) <= tagBytes {
		return nil, errs.New(errs.Invalid, "", "datagram has %d bytes", len(datagram))
	}
	var sum [sha256.Size]byte
	if !hmac.Equal(c.tag(sum[:0], datagram[tagBytes:]), datagram[:tagBytes]) {
		return nil, errs.New(errs.Denied, "Give all nodes the same cluster secret.", "datagram has a wrong HMAC")
	}
	d := &wire.Datagram{}
	if err := proto.Unmarshal(datagram[tagBytes:], d); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "", "decode a heartbeat")
	}
	if !complete(d) {
		return nil, errs.New(errs.Invalid, "", "heartbeat names no holder or no grantor")
	}
	return d, nil
}

// message is what renewals and grants have in common.
type message interface {
	GetHolder() *wire.NodeID
	GetGrantor() *wire.NodeID
}

func complete(d *wire.Datagram) bool {
	var m message
	switch body := d.GetBody().(type) {
	case *wire.Datagram_Renewal:
		m = body.Renewal
	case *wire.Datagram_Grant:
		m = body.Grant
	default:
		return false
	}
	return m.GetHolder().GetName() != "" && m.GetGrantor().GetName() != ""
}

func (c *Codec) tag(buffer, message []byte) []byte {
	h := c.hashes.Get().(hash.Hash)
	defer c.hashes.Put(h)
	h.Reset()
	h.Write(message)
	return h.Sum(buffer)[:tagBytes]
}
