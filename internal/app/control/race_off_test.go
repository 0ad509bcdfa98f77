//go:build !race

package control

// scale is 1 without the race detector.
const scale = 1
