package upstream

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Acked returns how many bytes the other end of a connection has acknowledged, and whether it has still to acknowledge others;
// known is false if the kernel doesn't say. What the kernel takes for a connection says less: it takes some MB ahead.
func Acked(c net.Conn) (n uint64, more, known bool) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, false, false
	}
	r, err := s.SyscallConn()
	if err != nil {
		return 0, false, false
	}
	err = r.Control(func(fd uintptr) {
		if i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n, more, known = i.Bytes_acked, i.Unacked > 0 || i.Notsent_bytes > 0, true
		}
	})
	return n, more, known && err == nil
}
