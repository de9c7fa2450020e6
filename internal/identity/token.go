package identity

import (
	"crypto/rand"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/citronvane/citronvane/internal/cluster"
)

// tokenPrefix tells tokens from opaque keys.
const tokenPrefix = "cv1."

// fieldsAfterService is the number of fields after the service. Service names may contain dots.
const fieldsAfterService = 4

// Token is an idempotency key that names the epoch in which it was issued.
type Token struct {
	Slice  cluster.SliceID
	Epoch  uint64
	Issued time.Time
	Random string
}

var errMalformedToken = errors.New("the token is malformed")

// IssueToken returns a new token for a slice.
func IssueToken(slice cluster.SliceID, epoch uint64, wall time.Time) Token {
	return Token{Slice: slice, Epoch: epoch, Issued: wall, Random: rand.Text()}
}

// String returns the token as callers see it.
func (t Token) String() string {
	return fmt.Sprintf("%s%s.%d.%d.%d.%s", tokenPrefix, t.Slice.Service, t.Slice.Index, t.Epoch, t.Issued.Unix(), t.Random)
}

// IsToken reports whether an idempotency key claims to be a token.
func IsToken(key string) bool { return strings.HasPrefix(key, tokenPrefix) }

// ParseToken is the inverse of String.
func ParseToken(key string) (Token, error) {
	fields := strings.Split(strings.TrimPrefix(key, tokenPrefix), ".")
	if !IsToken(key) || len(fields) < fieldsAfterService+1 {
		return Token{}, errMalformedToken
	}
	service := strings.Join(fields[:len(fields)-fieldsAfterService], ".")
	fields = fields[len(fields)-fieldsAfterService:]
	index, indexErr := strconv.Atoi(fields[0])
	epoch, epochErr := strconv.ParseUint(fields[1], 10, 64)
	issued, issuedErr := strconv.ParseInt(fields[2], 10, 64)
	if errors.Join(indexErr, epochErr, issuedErr) != nil || service == "" || index < 0 || fields[3] == "" {
		return Token{}, errMalformedToken
	}
	t := Token{
		Slice:  cluster.SliceID{Service: service, Index: index},
		Epoch:  epoch,
		Issued: time.Unix(issued, 0),
		Random: fields[3],
	}
	if t.String() != key {
		return Token{}, errMalformedToken // Another spelling, such as leading zeros, would be a second identity.
	}
	return t, nil
}
