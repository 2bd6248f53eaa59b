package main

import (
	"fmt"
	"os"
)

func main() {
	all, err := parse(os.Stdin)
	if err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
	for _, s := range all {
		if line, ok := fit(s); ok {
			fmt.Println(line)
		}
	}
}
