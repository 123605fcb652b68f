// Command standin-2 plays one case of the second review: the platform's store, the servers and the clients
// of a small deployment. The script beside the case starts the project's processes at its request: it writes
// "start NAME ROLE" lines to its output and reads "NAME PID" lines, and ends with "done CODE".
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*site) (bool, error){
	"drill":    restoredStore,
	"endless":  endlessStreams,
	"foreign":  foreignEntry,
	"late":     lateReads,
	"returned": returnedRuns,
	"slow":     slowReaders,
}

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

func main() {
	fmt.Printf("done %d\n", run())
}

func run() int {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE DIRECTORY RECORD TROUBLE")
		return couldNot
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return couldNot
	}
	s, err := newSite(os.Args[2], os.Args[3], os.Args[4] != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	s.note("case %s, disruption %t", os.Args[1], s.trouble)
	isBroken, err := play(s)
	switch {
	case err != nil:
		s.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	case isBroken:
		s.note("the rule was broken")
		return broken
	default:
		s.note("the rule held")
		return held
	}
}
