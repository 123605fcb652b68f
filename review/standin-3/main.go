// Command standin plays the cases of this review: it is the platform, the backend servers and the callers of a small
// installation, whose own processes run.sh starts beside it. It exits with 1 if a rule was broken, 0 if it held, and 2
// if the case could not be played.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitUnknown = 2
)

// play is one case. It returns what broke the rule.
type play func(s *site, trouble bool) (broken []string, err error)

// plays holds the cases by number.
var plays = map[string]play{
	"11": playSilentChannel,
	"12": playRestartedServer,
	"13": playUnheardStop,
	"14": playReusedAddress,
	"15": playSilentLeavingEngine,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: standin CASE DIRECTORY RECORD")
		os.Exit(exitUnknown)
	}
	os.Exit(playCase(os.Args[1], os.Args[2], os.Args[3]))
}

func playCase(number, directory, record string) int {
	played, ok := plays[number]
	t, err := newTrace(record)
	if err != nil || !ok {
		fmt.Println("unknown case or record file:", number, err)
		return exitUnknown
	}
	s, err := newSite(directory, t)
	if err != nil {
		fmt.Println(err)
		return exitUnknown
	}
	trouble := os.Getenv("TROUBLE") != "0"
	t.printf("case %s, trouble %t", number, trouble)
	broken, err := played(s, trouble)
	if err != nil {
		t.printf("not played: %v", err)
		fmt.Println("not played:", err)
		return exitUnknown
	}
	for _, line := range broken {
		t.printf("BROKEN %s", line)
		fmt.Println("BROKEN", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	t.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
