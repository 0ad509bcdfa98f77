//go:build race

package control

// scale divides the sizes and the rates of links of tests that measure how long a link is
// taken. With the race detector a loop stands still for 0.41 to 0.48 s over a deployment
// of 0.75 MB beside other tests, longer than an election takes; without it never for 0.2 s
// in the same place. A tenth of the size over a tenth of the rate takes the link as long.
const scale = 10
