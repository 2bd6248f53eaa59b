// Command slopes fits lines through benchmark results. It reads the output of
// `go test -bench` on standard input and takes each benchmark with a part
// <size>=<number> or <number> in its name as one point of a series; of repeated
// points it keeps the lowest value, which other work on the machine disturbs
// least. For each series and metric with at least three sizes it prints the
// points, the slope, the intercept and the largest residual.
package main
