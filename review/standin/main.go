// Command standin runs the stand-ins of the cases in review: servers with discovery, and clients.
//
//	standin shop DIR SIDECARS RUNS     servers and discovery, until SIGTERM
//	standin ask ... ADDRESS            one request of a client
//
// The servers follow the operators' protocol: they begin a request when its last byte has come, and answer
// 200 with a body that names the request and the SHA-256 of the body that they read.
package main

import (
	"fmt"
	"os"
)

func main() {
	commands := map[string]func(args []string) error{"shop": runShop, "ask": runAsk}
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin shop|ask ...")
		os.Exit(2)
	}
	if err := commands[os.Args[1]](os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(2)
	}
}
