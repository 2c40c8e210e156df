package link

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"martendrum/internal/handover"
)

const (
	// maxMessageBytes is the maximum length of a message. The longest is an offer with a
	// snapshot.
	maxMessageBytes = 192 << 10
	// sendTimeout is the maximum time for sending a message.
	sendTimeout = 500 * time.Millisecond
	// maxDescriptors is the maximum number of file descriptors in a message: the listeners,
	// the locks of the rendezvous and of the idempotency store, and the shared table.
	maxDescriptors = handover.MaxListeners + 3
	// descriptorBytes is the size of a file descriptor in a control message.
	descriptorBytes = 4
)

// connection is one end of the Unix socket of a hand-over. send is safe for concurrent use; only
// one goroutine may call receive.
type connection struct {
	unix    *net.UnixConn
	writeMu sync.Mutex
}

// send sends a message and passes file descriptors with it. If the message is too long, it is
// sent without its snapshot.
func (c *connection) send(message handover.Message, descriptors ...int) error {
	data, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	if len(data) > maxMessageBytes {
		message.Snapshot = nil // without it, the successor only starts more slowly
		if data, err = json.Marshal(message); err != nil {
			return fmt.Errorf("link: %w", err)
		}
	}
	var control []byte
	if len(descriptors) > 0 {
		control = syscall.UnixRights(descriptors...)
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.unix.SetWriteDeadline(time.Now().Add(sendTimeout))
	_, _, err = c.unix.WriteMsgUnix(data, control, nil)
	return err
}

// receive waits for a message, which it reads into buffer. The caller closes the files that come
// with it.
func (c *connection) receive(buffer []byte) (message handover.Message, files []*os.File, err error) {
	control := make([]byte, syscall.CmsgSpace(descriptorBytes*maxDescriptors))
	n, controlBytes, flags, _, err := c.unix.ReadMsgUnix(buffer, control)
	if err != nil {
		return message, nil, err
	}
	if n == 0 {
		return message, nil, net.ErrClosed
	}
	files = passedFiles(control[:controlBytes])
	if flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0 {
		err = errors.New("link: message too long or with too many descriptors")
	} else {
		err = json.Unmarshal(buffer[:n], &message)
	}
	if err != nil {
		closeAll(files)
		files = nil
	}
	return message, files, err
}

// passedFiles returns the files of the descriptors in a control message.
func passedFiles(control []byte) (files []*os.File) {
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return nil
	}
	for i := range messages {
		descriptors, err := syscall.ParseUnixRights(&messages[i])
		if err != nil {
			continue
		}
		for _, descriptor := range descriptors {
			files = append(files, os.NewFile(uintptr(descriptor), "received descriptor"))
		}
	}
	return files
}

func closeAll(files []*os.File) {
	for _, file := range files {
		file.Close()
	}
}

// isSameUser reports whether the process at the other end runs as the user of this process.
func isSameUser(unix *net.UnixConn) bool {
	raw, err := unix.SyscallConn()
	if err != nil {
		return false
	}
	same := false
	raw.Control(func(descriptor uintptr) {
		credentials, err := syscall.GetsockoptUcred(int(descriptor), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
		same = err == nil && int(credentials.Uid) == os.Geteuid()
	})
	return same
}
