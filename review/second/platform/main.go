// Command review2 plays one scene of the second review against relays that run as processes of their own.
package main

import (
	"fmt"
	"os"
)

var scenes = map[string]func(*world) error{
	"crash":   crashScene,
	"need":    needScene,
	"inplace": inplaceScene,
	"leave":   leaveScene,
	"wake":    wakeScene,
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "replica" {
		if err := runReplicaProcess(os.Args[2], os.Args[3]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		return
	}
	if len(os.Args) != 3 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 SCENE FOLDER")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	err = scenes[os.Args[1]](w)
	code := w.finish()
	if err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, err)
		code = 2
	}
	os.Exit(code)
}
