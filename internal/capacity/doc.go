// Package capacity measures what control costs a node, as processes on one
// machine, over several fleet sizes. docs/CAPACITY.md uses its figures.
package capacity
