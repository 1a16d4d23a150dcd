package soak

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"net"
	"strings"

	"spurhall.example/spurhall/internal/wire/wireconnect"
)

// This file sends crowds of callers that don't behave.

// Sizes of what they send, in bytes: less than a daemon reads of a head, and than a body may have.
const (
	crowdHeadBytes  = 60_000
	crowdBodyBytes  = 1 << 20
	crowdChunkBytes = 60_000
	// Of a message to another node: what is announced, and as much as it expands to; and what comes.
	crowdMessageBytes = 8 << 20
	crowdMessageSent  = 2 << 20
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
	case CrowdMessages:
		return messageHead("", crowdMessageBytes) + strings.Repeat("x", crowdMessageSent)
	case CrowdExpand:
		b := packedZeros(crowdMessageBytes)
		return messageHead("Content-Encoding: gzip\r\n", len(b)) + b
	default:
		return head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", crowdChunkBytes)
	}
}

// messageHead returns the head of a message to another node, with a further field and its length.
func messageHead(field string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Type: application/proto\r\n%sContent-Length: %d\r\n\r\n", wireconnect.EdgeSwapProcedure, field, length)
}

// packedZeros returns so many zero bytes, compressed.
func packedZeros(size int) string {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(make([]byte, size)) // a buffer takes all
	_ = w.Close()
	return b.String()
}

// crowd brings a crowd to daemons, beside the proxies: each of its callers sends what it has and stays, until the fault ends.
func (s *Stage) crowd(ctx context.Context, f Fault) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	text, port := []byte(crowdText(f.How)), servePort
	if atNodes(f.How) {
		port = peerPort
	}
	for _, i := range f.Who {
		for range int(f.X) {
			go func() {
				c, err := (&net.Dialer{}).DialContext(ctx, "tcp", s.address(s.daemonHost(i), port))
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
