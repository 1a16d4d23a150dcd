package autoscale

// Exists reports whether upstreams can be ordered in a hall: the node's settings list it with its region, or the service
// has a price for it. Entries of other writers may name any hall. If neither lists any hall, all that are named exist.
func Exists(hall string, regions map[string]string, prices map[string]float64) bool {
	_, listed := regions[hall]
	_, priced := prices[hall]
	return listed || priced || len(regions)+len(prices) == 0
}
