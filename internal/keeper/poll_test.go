package keeper

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/fakes/rawserver"
	"github.com/berylpond/berylpond/internal/httphead"
)

// Guards against a poll that takes what an engine in trouble sends for a report.
func TestMalformedHeadIsNoReport(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nContent-Length : 13", "HTTP/1.1 000 Trouble\r\nContent-Length: 13"} {
		t.Run(head, func(t *testing.T) {
			is := is.New(t)
			address := rawserver.Start(t, func(c *net.TCPConn, br *bufio.Reader) {
				if _, err := http.ReadRequest(br); err == nil {
					io.WriteString(c, head+"\r\n\r\n"+`{"waiting":7}`)
				}
			})
			c := &Controller{client: http.DefaultClient}
			var report loadReport
			err := c.getJSON(t.Context(), "http://"+address+"/v1/load", &report)
			is.True(errors.Is(err, httphead.ErrMalformed))
			is.Equal(report, loadReport{})
		})
	}
}
