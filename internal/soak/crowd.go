package soak

import (
	"context"
	"fmt"
	"net"
	"strings"
)

// This file sends crowds of callers that don't behave.

// Sizes of what they send, in bytes: less than a daemon reads of a head, and than a body may have.
const (
	crowdHeadBytes  = 60_000
	crowdBodyBytes  = 1 << 20
	crowdChunkBytes = 60_000
)

// crowdText is what a caller of a crowd sends.
func crowdText(how string) string {
	head := "POST /" + string(RouteAgain) + "/ HTTP/1.1\r\nHost: h\r\n"
	switch how {
	case CrowdFields:
		var b strings.Builder
		b.WriteString(head)
		for i := 0; b.Len() < crowdHeadBytes; i++ {
			fmt.Fprintf(&b, "x%x:\r\n", i)
		}
		return b.String()
	case CrowdHead:
		return head + "x: " + strings.Repeat("x", crowdHeadBytes)
	case CrowdLines:
		return strings.Repeat("\r\n", crowdBodyBytes/2)
	case CrowdBody:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes) + strings.Repeat("x", crowdBodyBytes-10)
	default:
		return head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", crowdChunkBytes)
	}
}

// crowd brings a crowd to daemons, beside the proxies: each of its callers sends what it has and stays, until the fault ends.
func (s *Stage) crowd(ctx context.Context, f Fault) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	text := []byte(crowdText(f.How))
	for _, i := range f.Who {
		for range int(f.X) {
			go func() {
				c, err := (&net.Dialer{}).DialContext(ctx, "tcp", s.address(s.daemonHost(i), servePort))
				if err != nil {
					return // it is turned away
				}
				defer context.AfterFunc(ctx, func() { _ = c.Close() })()
				_, _ = c.Write(text) // it may be closed meanwhile
				<-ctx.Done()
				_ = c.Close()
			}()
		}
	}
	s.lasts(ctx, f)
}
