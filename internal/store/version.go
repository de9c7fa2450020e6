package store

// Versions of objects order by era, then by revision. The era counts how often the platform's store came back from a copy, which
// sets its revisions back. A store that never did has era 0, and versions equal revisions.

const (
	// revisionBits is the size of a revision in a version with an era. A store with 3,200 writes a second reaches 2^40 in ten years.
	revisionBits = 40
	// MaxEra is the highest era of a version.
	MaxEra = 1<<(64-revisionBits) - 1
)

// VersionIn returns the version of a revision in an era. It reports false if the revision has no version there.
func VersionIn(era, revision uint64) (version uint64, ok bool) {
	if era == 0 {
		return revision, true
	}
	return era<<revisionBits | revision, era <= MaxEra && revision < 1<<revisionBits
}

// FirstVersion returns the version that precedes all versions of an era. As the condition of a write it stands for an object that does not exist.
func FirstVersion(era uint64) uint64 { return era << revisionBits }

// Era returns the era of a version.
func Era(version uint64) uint64 { return version >> revisionBits }

// Revision returns the revision of a version.
func Revision(version uint64) uint64 { return version & (1<<revisionBits - 1) }
