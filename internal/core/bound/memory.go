package bound

// measures is the number of dual feasible functions in use: measure 0 is the share itself,
// measure k above 0 is floor((k+1)x)/k.
const measures = 7

// measure returns the share of an engine that a model occupies, by measure k. Sizes are
// integers, so floor((k+1)x) is exact.
func measure(k int, size, capacity int64) float64 {
	switch whole, rest := int64(k+1)*size/capacity, int64(k+1)*size%capacity; {
	case k == 0 || rest == 0:
		return float64(size) / float64(capacity)
	default:
		return float64(whole) / float64(k)
	}
}
