package command

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const explainLog = `  -9.1 n1 ts=2026-06-12T05:24:00Z level=info msg=upstream_leaving node=n1 upstream=u9 service=s
ts=2026-06-12T05:24:01.5Z level=info msg=upstream_leaving node=n1 upstream=u1 service=s leaves_in=2.5s
ts=2026-06-12T05:24:01.6Z level=info msg=upstream_leaving node=n2 upstream=u1 service=s
not a line of ours
ts=2026-06-12T05:24:04Z level=info msg=stream_broke node=n1 request=r1 upstream=u1 last_event=7 cause="the stream broke off"
ts=2026-06-12T05:24:03Z level=info msg=store_lost node=n1 reader=catalog cause="no answer"
ts=2026-06-12T05:24:04.1Z level=info msg=request_done node=n1 request=r2 outcome=answered took=1s
ts=2026-06-12T05:24:04.2Z level=info msg=request_done node=n1 request=r1 outcome=cut status=200 took=2s upstream=u1
ts=2026-06-12T05:24:09Z level=info msg=store_regained node=n1
`

func TestExplain(t *testing.T) {
	l, err := parseLog(strings.NewReader(explainLog))
	require.NoError(t, err)
	require.Len(t, l, 8)
	l[3], l[4] = l[4], l[3] // as readLogs sorts them
	var b bytes.Buffer
	require.NoError(t, explain(&b, "r1", l))
	assert.Equal(t, `   -0.700s  n1  upstream_leaving  upstream=u1  service=s  leaves_in=2.5s
   +0.800s  n1  store_lost  reader=catalog  cause=no answer
   +1.800s  n1  stream_broke  request=r1  upstream=u1  last_event=7  cause=the stream broke off
   +2.000s  n1  request_done  request=r1  outcome=cut  status=200  took=2s  upstream=u1
`, b.String())
	assert.ErrorIs(t, explain(&b, "r3", l), errNoRequest)
}
