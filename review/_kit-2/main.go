// Command review-2 runs the scripted cases of the second review. Each case starts the router
// as the deploy file does, on loopback addresses, with stand-ins of the platform, of runners
// and of clients in this process. It exits with 1 if the rule was broken, 0 if it held and 2
// if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// errBroken is returned by a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

// caseFunc runs a case; trouble says whether its disruption happens.
type caseFunc func(s *system, trouble bool) error

var cases = map[string]caseFunc{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(run caseFunc, folder string) int {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = out.Close() }()
	trouble := os.Getenv("TROUBLE") != "0"
	s, err := newSystem(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	s.record("the case begins, with its disruption: %t", trouble)
	err = run(s, trouble)
	switch {
	case errors.Is(err, errBroken):
		s.record("result: %v", err)
		fmt.Println(err)
		return 1
	case err != nil:
		s.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s.record("result: the rule held")
	fmt.Println("the rule held")
	return 0
}
