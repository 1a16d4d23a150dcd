package soak

import "slices"

// Shrink leaves out faults of a day as long as what is left still fails, as a play of it tells. A day that fails only
// now and then may keep more than it needs.
func Shrink(d Day, fails func(Day) bool) Day {
	for i := 0; i < len(d.Faults); {
		less := d
		less.Faults = slices.Delete(slices.Clone(d.Faults), i, i+1)
		if fails(less) {
			d = less
		} else {
			i++
		}
	}
	return d
}
