package bound

// measures are the dual feasible functions in use: measure 0 is the share itself, measure
// k above 0 is floor((k+1)x)/k.
const measures = 7

// measure returns what a model takes of an engine by one of the measures. Sizes are whole,
// so it is exact.
func measure(k int, size, capacity int64) float64 {
	switch whole, rest := int64(k+1)*size/capacity, int64(k+1)*size%capacity; {
	case k == 0 || rest == 0:
		return float64(size) / float64(capacity)
	default:
		return float64(whole) / float64(k)
	}
}
