package relay

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"time"

	"github.com/citronvane/citronvane/internal/errs"
)

// version is the version of the protocol. Peers of other versions are refused.
const version = 1

const (
	nonceSize     = 16
	proofSize     = sha256.Size
	challengeSize = 1 + nonceSize
	helloSize     = 1 + nonceSize + proofSize
	// handshakeTimeout bounds how long a connection may exist without a proof.
	handshakeTimeout = 2 * time.Second
)

// Labels keep the proof of one side from being sent back as the proof of the other.
const (
	labelClient = "citronvane relay client"
	labelServer = "citronvane relay server"
)

// newChallenge returns the version and a nonce, so that a recorded proof can't be replayed.
func newChallenge() []byte {
	c := make([]byte, challengeSize)
	c[0] = version
	_, _ = rand.Read(c[1:]) // It never returns an error.
	return c
}

// newHello answers the challenge of a server.
func newHello(secret, challenge []byte) ([]byte, error) {
	if challenge[0] != version {
		return nil, versionError(challenge[0])
	}
	hello := newChallenge()
	return append(hello, proof(secret, labelClient, challenge, hello)...), nil
}

// checkHello returns the proof of the server for a correct hello.
func checkHello(secret, challenge, hello []byte) ([]byte, error) {
	if hello[0] != version {
		return nil, versionError(hello[0])
	}
	nonce := hello[:challengeSize]
	if !hmac.Equal(hello[challengeSize:], proof(secret, labelClient, challenge, nonce)) {
		return nil, secretError()
	}
	return proof(secret, labelServer, challenge, nonce), nil
}

func checkWelcome(secret, challenge, hello, welcome []byte) error {
	if !hmac.Equal(welcome, proof(secret, labelServer, challenge, hello[:challengeSize])) {
		return secretError()
	}
	return nil
}

func proof(secret []byte, label string, challenge, nonce []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(label))
	mac.Write(challenge)
	mac.Write(nonce)
	return mac.Sum(nil)
}

func versionError(got byte) error {
	return errs.New(errs.Denied, "Upgrade the older node.", "relay: the peer speaks protocol version %d, not %d", got, version)
}

func secretError() error {
	return errs.New(errs.Denied, "Give all nodes the same cluster secret.", "relay: the peer did not prove that it knows the cluster secret")
}
