// Package wire holds the protobuf messages and the gRPC service that nodes use
// between themselves. All files but this one are generated from wire.proto.
package wire
