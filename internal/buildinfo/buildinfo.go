// Package buildinfo tells which version of citronvane a program is.
package buildinfo

import "runtime/debug"

// version is set by the linker for releases: -X github.com/citronvane/citronvane/internal/buildinfo.version=v1.2.3
var version = ""

// Version returns the version, the commit for a build from a checkout, or "devel".
func Version() string {
	if version != "" {
		return version
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "devel"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return "devel-" + setting.Value
		}
	}
	return "devel"
}
