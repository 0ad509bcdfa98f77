//go:build !race

package control

// scale divides nothing without the race detector.
const scale = 1
