// Package quarantine knows requests by what is the same whenever they come again, so that
// what happened to upstreams under one of them can be told from what happened by chance.
package quarantine
