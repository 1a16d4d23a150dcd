package soak

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
)

// This file finds which process dials a link, by the kernel's own knowledge of sockets: all addresses here are one
// VM's, so that a cut between halls can't go by them.
//
// Weighed: the table of sockets as text. It holds tens of thousands of closed ones after a while, and is read as a
// whole each time.

// sourceOf returns which of some processes holds the other end of a connection; empty: none of them.
func sourceOf(c net.Conn, list []*Process) string {
	inode, err := peerSocket(c)
	if err != nil {
		return ""
	}
	want := fmt.Sprintf("socket:[%d]", inode)
	for _, p := range list {
		if p.holds(want) {
			return p.name
		}
	}
	return ""
}

func (p *Process) holds(socket string) bool {
	dir := filepath.Join("/proc", strconv.Itoa(p.pid()), "fd")
	fds, err := os.ReadDir(dir)
	if err != nil {
		return false // it has ended
	}
	for _, f := range fds {
		if to, err := os.Readlink(filepath.Join(dir, f.Name())); err == nil && to == socket {
			return true
		}
	}
	return false
}

var errNoSocket = errors.New("no such socket")

// The kernel's interface for questions about sockets (sock_diag(7)).
const (
	sockDiag        = 4  // NETLINK_SOCK_DIAG
	sockDiagFamily  = 20 // SOCK_DIAG_BY_FAMILY
	headerLength    = 16
	requestLength   = headerLength + 56
	addressesAt     = headerLength + 8 // of the request: ports, then addresses
	inodeAt         = headerLength + 68
	noCookie        = 0xffffffff
	answerBuffer    = 512
	diagTimeoutSecs = 1
)

// peerSocket returns the inode of the other end of a connection within this VM.
func peerSocket(c net.Conn) (uint32, error) {
	own, ok := c.LocalAddr().(*net.TCPAddr)
	other, isTCP := c.RemoteAddr().(*net.TCPAddr)
	if !ok || !isTCP || own.IP.To4() == nil || other.IP.To4() == nil {
		return 0, errNoSocket
	}
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, sockDiag)
	if err != nil {
		return 0, err
	}
	defer func() { _ = syscall.Close(fd) }()
	if err := syscall.SetsockoptTimeval(fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &syscall.Timeval{Sec: diagTimeoutSecs}); err != nil {
		return 0, err
	}
	if err := syscall.Sendto(fd, socketRequest(other, own), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, err
	}
	b := make([]byte, answerBuffer)
	n, _, err := syscall.Recvfrom(fd, b, 0)
	if err != nil {
		return 0, err
	}
	if n < inodeAt+4 || binary.NativeEndian.Uint16(b[4:]) != sockDiagFamily {
		return 0, errNoSocket
	}
	return binary.NativeEndian.Uint32(b[inodeAt:]), nil
}

// socketRequest asks for the socket at one address that is connected to another.
func socketRequest(at, to *net.TCPAddr) []byte {
	b := make([]byte, requestLength)
	binary.NativeEndian.PutUint32(b, requestLength)
	binary.NativeEndian.PutUint16(b[4:], sockDiagFamily)
	binary.NativeEndian.PutUint16(b[6:], syscall.NLM_F_REQUEST)
	b[headerLength], b[headerLength+1] = syscall.AF_INET, syscall.IPPROTO_TCP
	binary.NativeEndian.PutUint32(b[headerLength+4:], 0xffffffff) // whatever its state
	id := b[addressesAt:]
	binary.BigEndian.PutUint16(id, uint16(at.Port))
	binary.BigEndian.PutUint16(id[2:], uint16(to.Port))
	copy(id[4:], at.IP.To4())
	copy(id[20:], to.IP.To4())
	binary.NativeEndian.PutUint32(id[40:], noCookie)
	binary.NativeEndian.PutUint32(id[44:], noCookie)
	return b
}
