// Command standin plays one case of the review: it starts the project's programs with the commands
// of the deploy file, plays the platform, the replicas and the clients, and checks one rule from
// what these see. It exits with 1 if the rule was broken, 0 if it held and 2 if it couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit bounds a whole run.
const limit = 110 * time.Second

var cases = map[string]func(root string, rec *record, trouble bool) bool{
	"split":    caseSplit,
	"unframed": caseUnframed,
	"silence":  caseSilence,
	"unsigned": caseUnsigned,
	"restore":  caseRestore,
	"lost":     caseLost,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		cannotRun("usage: standin CASE ROOT FOLDER")
	}
	root, err := filepath.Abs(os.Args[2])
	must(err)
	if _, err := os.Stat(filepath.Join(root, "target", "fulmarvalve")); err != nil {
		cannotRun("target/fulmarvalve is not built")
	}
	rec := newRecord(filepath.Join(os.Args[3], "record.txt"))
	background.Go(func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-signals:
		case <-time.After(limit):
		}
		cannotRun("stopped before the end")
	})
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, with the disruption: %t", os.Args[1], trouble)
	broken := cases[os.Args[1]](root, rec, trouble)
	verdict := map[bool]string{true: "the rule was broken", false: "the rule held"}[broken]
	rec.note("verdict: %s", verdict)
	fmt.Println(verdict)
	if broken {
		os.Exit(1)
	}
}
