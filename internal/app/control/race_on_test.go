//go:build race

package control

// scale divides the sizes and the link rates of tests that measure how long a link is
// occupied. With the race detector, a loop stalls for 0.41 to 0.48 s on a deployment
// of 0.75 MB while other tests run, longer than an election takes; without it, never for
// 0.2 s under the same conditions. A tenth of the size over a tenth of the rate occupies the
// link for the same time.
const scale = 10
