package logging

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"go.uber.org/zap"
)

// Counts is a field of named counts, as name:count pairs in the names' order. The encoder
// writes no maps.
func Counts(key string, counts map[string]int64) zap.Field {
	l := make([]string, 0, len(counts))
	for n, c := range counts {
		l = append(l, fmt.Sprintf("%s:%d", n, c))
	}
	slices.Sort(l)
	return zap.String(key, strings.Join(l, ","))
}

// Hundredths returns a field with a figure that is rounded to hundredths.
func Hundredths(key string, x float64) zap.Field { return zap.Float64(key, math.Round(x*100)/100) }
