package upstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// This file asks the kernel how long ago bytes arrived: what waited because this process was not scheduled is late, though it
// has only just been read.

// SinceArrival returns how long ago the kernel received the last bytes of a connection; 0 if it doesn't say.
func SinceArrival(c net.Conn) time.Duration {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	r, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	var d time.Duration
	err = r.Control(func(fd uintptr) {
		if i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			d = time.Duration(i.Last_data_recv) * time.Millisecond
		}
	})
	if err != nil {
		return 0
	}
	return d
}
