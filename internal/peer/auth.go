package peer

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

const tokenHeader = "citronvane-token"

// token proves knowledge of the cluster secret. It is derived from the secret, so that the secret,
// which also authenticates datagrams, is never sent.
type token string

func newToken(secret string) token {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte("citronvane control calls"))
	return token(hex.EncodeToString(mac.Sum(nil)))
}

// GetRequestMetadata adds the token to a call.
func (t token) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	return map[string]string{tokenHeader: string(t)}, nil
}

// RequireTransportSecurity returns false: nodes talk over plain TCP inside the operator's network.
func (t token) RequireTransportSecurity() bool { return false }

// check returns an error unless the call carries the token.
func (t token) check(ctx context.Context) error {
	md, _ := metadata.FromIncomingContext(ctx)
	values := md.Get(tokenHeader)
	if len(values) == 1 && subtle.ConstantTimeCompare([]byte(values[0]), []byte(t)) == 1 {
		return nil
	}
	return status.Error(codes.Unauthenticated, "the call does not carry the token of this cluster")
}
