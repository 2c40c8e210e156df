// Package link carries out a hand-over over a Unix socket in a directory that both
// processes of a sidecar share. It delivers messages and events to the machines of package
// handover and carries out their actions; it decides nothing itself.
//
// A file in the directory is locked as long as any process serves at the address. The
// lock is passed with the listening socket from the predecessor to the successor, so that
// it is free only when both have ended, however they did: a socket file that a killed
// process left is recognised by it.
package link

import (
	"context"
	"net"
	"syscall"
)

// soReusePort is SO_REUSEPORT on Linux, which package syscall lacks.
const soReusePort = 0xf

// Listen opens a socket to accept clients from, at an address where other processes of
// the same user may listen too.
func Listen(address string) (*net.TCPListener, error) {
	config := net.ListenConfig{Control: setReusePort}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

func setReusePort(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(descriptor uintptr) {
		err = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, soReusePort, 1)
	}); controlErr != nil {
		return controlErr
	}
	return err
}
