// Package cost predicts the service time of requests on one target from what a node sees of them, and how much longer a
// running request is expected to take. It performs no I/O and takes times as arguments. All service times are normalised
// to the usual pace of the target: the caller divides them by the target's current slowdown. Since every target has its
// own predictor, the target's speed is part of what it learns.
package cost

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Features of a request, each reduced to a bucket.
const (
	featureMethod = iota
	featurePath
	featureKey
	featureBody
	featureCaller
	// featureAll is the combination of all features.
	featureAll
	featureCount
)

const (
	// featureBuckets is the number of buckets of each feature. Services have far fewer methods, callers, path shapes and
	// body sizes with distinct costs; distinct values that share a bucket only make a feature explain less.
	featureBuckets = 32
	// keyRanges is the number of ranges into which the key space is divided.
	keyRanges = 32
	keySpace  = 1 << 16
)

// Features are the buckets of a request's features. The zero value is valid and stands for a request of which only the
// route is known.
type Features struct {
	Route   string
	buckets [featureCount]uint8
}

// NewFeatures returns the features of a request. key is negative for requests without a key, and bodyLength for bodies of
// unknown length.
func NewFeatures(route, method, path, caller string, key int, bodyLength int64) Features {
	f := Features{Route: route}
	f.buckets[featureMethod] = stringBucket(method)
	f.buckets[featurePath] = pathBucket(path)
	if key >= 0 {
		f.buckets[featureKey] = uint8(min(key, keySpace-1) * keyRanges / keySpace)
	}
	f.buckets[featureBody] = uint8(min(bits.Len64(uint64(max(bodyLength, -1)+1)), featureBuckets-1))
	f.buckets[featureCaller] = stringBucket(caller)
	f.buckets[featureAll] = uint8(xxhash.Sum64(f.buckets[:featureAll]) % featureBuckets)
	return f
}

func stringBucket(s string) uint8 { return uint8(xxhash.Sum64String(s) % featureBuckets) }

// pathBucket returns the bucket of a path's shape: the number of its segments, the kind of characters of the last one, and
// whether there is a query. The characters themselves are often unique to a request and would explain nothing.
func pathBucket(path string) uint8 {
	segments, letters, digits, query := 0, false, false, uint8(0)
	for i := range len(path) {
		switch c := path[i]; {
		case c == '?':
			query = 1
		case query == 1:
		case c == '/':
			segments++
			letters, digits = false, false
		case '0' <= c && c <= '9':
			digits = true
		default:
			letters = true
		}
	}
	kind := uint8(0)
	if letters {
		kind = 1
	} else if digits {
		kind = 2
	}
	// Six classes of the last segment and the query, times five numbers of segments.
	return uint8(min(segments, 4))*6 + kind*2 + query
}
