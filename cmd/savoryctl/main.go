package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "bench" {
		os.Exit(runBench(os.Args[2:]))
	}
	fmt.Fprintln(os.Stderr, "usage: savoryctl bench --workload FILE")
	os.Exit(2)
}
