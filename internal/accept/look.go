package accept

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// This file looks once more at what has arrived by the time at which a deadline has passed. The deadline counts before what has
// arrived, and both are there at once if the process wasn't scheduled in between. That holds for the look's own end, too.

const (
	// lastLook is how long a connection that is to close still waits for a request, and a listener for a connection.
	lastLook = 100 * time.Millisecond
	// lateLook is how late the end of a look is noticed by a process that wasn't scheduled.
	lateLook = 5 * time.Millisecond
	maxLooks = 3 // a process that is always late must close, too
)

// look counts the looks at a connection or listener. The zero value has none.
type look struct {
	n     int
	until time.Time
}

// next reports whether there is another look, and begins it. For a connection or listener that is given, there is one for as
// long as something waits there.
func (k *look) next(now time.Time, v any) bool {
	late := k.n == 0 || now.Sub(k.until) >= lateLook
	if (k.n >= maxLooks || !late) && !isReadable(v) {
		return false
	}
	k.n, k.until = k.n+1, now.Add(lastLook)
	return true
}

// isReadable reports whether bytes or a connection wait in the kernel; false if it doesn't say.
func isReadable(v any) bool {
	s, ok := v.(syscall.Conn)
	if !ok {
		return false
	}
	r, err := s.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = r.Control(func(fd uintptr) {
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) // a failure counts as none
	})
	return err == nil && n > 0
}
