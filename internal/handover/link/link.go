// Package link carries out a hand-over over a Unix socket in a directory that both processes of
// a sidecar share. It delivers messages and events to the state machines of package handover and
// carries out the actions that they return; it makes no decisions itself.
//
// A file in the directory is locked as long as any process serves at the sidecar's address. The
// predecessor passes the lock to the successor together with the listening socket, so the lock
// is free only when both processes have ended, however they ended. A free lock therefore shows
// that a socket file was left by a killed process.
package link

import (
	"context"
	"net"
	"syscall"
)

// soReusePort is SO_REUSEPORT on Linux, which package syscall lacks.
const soReusePort = 0xf

// Listen opens a listening TCP socket at an address, where other processes of the same user may
// listen too.
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
