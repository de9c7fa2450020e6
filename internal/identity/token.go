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

// tokenPrefix distinguishes tokens from opaque keys, which callers choose themselves.
const tokenPrefix = "cv1."

// fieldsAfterService is the number of token fields after the service name. Fields are counted from the end, because
// service names may contain dots.
const fieldsAfterService = 4

// Token is an idempotency key issued by the owner of a slice. It contains the epoch and the time of its issue, from
// which a later owner can tell whether a record of the request would still exist.
type Token struct {
	Slice  cluster.SliceID
	Epoch  uint64
	Issued time.Time
	Random string
}

var errMalformedToken = errors.New("the token in Idempotency-Key is malformed")

// IssueToken returns a new random token for a slice.
func IssueToken(slice cluster.SliceID, epoch uint64, wall time.Time) Token {
	return Token{Slice: slice, Epoch: epoch, Issued: wall, Random: rand.Text()}
}

// String returns the text form of the token, which is sent as Idempotency-Key.
func (t Token) String() string {
	return fmt.Sprintf("%s%s.%d.%d.%d.%s", tokenPrefix, t.Slice.Service, t.Slice.Index, t.Epoch, t.Issued.Unix(), t.Random)
}

// IsToken reports whether an idempotency key has the prefix of a token. The rest may be malformed.
func IsToken(key string) bool { return strings.HasPrefix(key, tokenPrefix) }

// ParseToken parses the text form that String returns.
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
	// Only the canonical form is accepted: a variant, such as leading zeros, would escape the duplicate check.
	if t.String() != key {
		return Token{}, errMalformedToken
	}
	return t, nil
}
