// Command stand runs the cases of the review: it starts relays of the project as processes, plays the
// platform's store, the backend servers and the clients, and checks a rule from what these see.
//
// It uses the standard library only.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenes are the cases by name. Each returns the violations of its rule that it saw.
var scenes = map[string]func(*world) []string{
	"extra-piece-answer": extraPieceAnswer,
	"cut-stream":         cutStream,
	"cold-rate":          coldRate,
	"last-key":           lastKey,
	"brittle":            brittle,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "server" {
		runServerProcess(os.Args[2])
		return
	}
	if len(os.Args) != 3 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand SCENE FOLDER | stand server JSON")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a scene, writes record.txt into dir and returns the exit code.
func play(name, dir string) (code int) {
	w, err := newWorld(dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() {
		// A scene that can't go on panics with notRun.
		if e, ok := recover().(notRun); ok {
			w.record("case could not run: %v", e.err)
			fmt.Fprintln(os.Stderr, "case could not run:", e.err)
			code = exitNotRun
		}
		w.close()
	}()
	broken := scenes[name](w)
	for _, b := range broken {
		w.record("VIOLATION %s", b)
	}
	w.record("end: %d violations", len(broken))
	fmt.Printf("%s trouble=%t: %d violations\n", name, w.trouble, len(broken))
	for i, b := range broken {
		if i == 5 {
			fmt.Println("  ...")
			break
		}
		fmt.Println(" ", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}

// notRun is the panic of a scene that can't go on.
type notRun struct{ err error }

// must ends the scene if err is not nil.
func must(err error) {
	if err != nil {
		panic(notRun{err})
	}
}
