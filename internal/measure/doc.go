// Package measure compares callers that go through citronvane with callers that
// choose a target at random, in pairs of runs against the same processes.
// docs/MEASURES.md holds the figures. It consists of benchmarks only.
package measure
