// Package plot draws how figures grow with the size of a fleet: it reads the output of Go's benchmarks whose names end
// with sizes ("985 nodes, 10000 upstreams"), and writes an SVG image with a panel for each figure. Both axes are
// logarithmic, and a dashed line shows growth in proportion to the size, so a figure that doesn't grow with the fleet lies
// flat below it.
//
// Alternatives considered: a plotting library. Points, lines and labels in a grid are all that is needed.
package plot
