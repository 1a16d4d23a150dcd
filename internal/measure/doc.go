// Package measure holds the measurements of the decisions, as benchmarks. Each
// replays one recorded-by-seed traffic through the very decision code that the
// daemon runs and through its baselines, against engines that are nothing but
// slots, a queue and a prefix cache. It is no model of a cluster: no network, no
// failures but those named, and no claim beyond the comparison of the columns.
//
//	make measure
package measure
