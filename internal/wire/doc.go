// Package wire holds the protobuf messages and the gRPC service that nodes use
// between themselves. The files that end in .pb.go are generated from wire.proto.
package wire
