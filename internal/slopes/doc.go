// Command slopes fits lines through benchmark results. It reads the output of
// `go test -bench` on standard input and uses each benchmark whose name has a part
// <size>=<number> or <number> as one point of a series. Of repeated points it
// keeps the lowest value, because that one is least affected by other load on the
// machine. For each series and metric with at least three sizes it prints the
// points, the slope, the intercept and the largest residual.
package main
