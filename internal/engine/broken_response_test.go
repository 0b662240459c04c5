package engine_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/engine"
	"github.com/berylpond/berylpond/internal/fakes/rawserver"
	"github.com/berylpond/berylpond/internal/verdict"
)

func serviceCall(id string, body []byte) engine.ServiceRequest {
	return engine.ServiceRequest{
		RequestID: id, Method: http.MethodPost, Path: "/x", Body: body, Timeout: 3 * time.Second, MaxResponseBytes: 1 << 20,
	}
}

// Incident: servers answered a long upload at once with a success that had no length, sent part of its body and reset the
// connection while the upload was still being written.
func TestServiceResponseThatIsResetDuringAnUploadIsNotWhole(t *testing.T) {
	const requests = 30
	address := rawserver.Start(t, func(c *net.TCPConn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 20_000))
		time.Sleep(50 * time.Millisecond)
		c.SetLinger(0)
	})
	is := is.New(t)
	client := engine.New(engine.DefaultTimeouts, nil)
	whole := 0
	for range requests {
		if _, err := client.CallService(t.Context(), address, serviceCall("r", make([]byte, 4<<20))); err == nil {
			whole++
		} else {
			is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
		}
	}
	is.Equal(whole, 0)
}

func TestServiceResponseThatEndsWithItsConnectionIsWhole(t *testing.T) {
	for name, halfClosed := range map[string]bool{"closed after the upload": false, "half closed before it": true} {
		t.Run(name, func(t *testing.T) {
			address := rawserver.Start(t, func(c *net.TCPConn, br *bufio.Reader) {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				if !halfClosed {
					io.Copy(io.Discard, r.Body)
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
				if halfClosed {
					c.CloseWrite()
					io.Copy(io.Discard, r.Body)
				}
			})
			is := is.New(t)
			resp, err := engine.New(engine.DefaultTimeouts, nil).CallService(t.Context(), address, serviceCall("r", make([]byte, 2<<20)))
			is.NoErr(err)
			is.Equal(string(resp.Body), "whole")
		})
	}
}

// malformedHeads are heads of responses that are none in HTTP, though net/http's client takes them.
var malformedHeads = map[string]string{
	"status 000":                   "HTTP/1.1 000 Trouble\r\nContent-Length: 5\r\n\r\nbytes",
	"status 099":                   "HTTP/1.1 099 Trouble\r\nContent-Length: 5\r\n\r\nbytes",
	"blank before a colon, length": "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nbytes",
	"blank before a colon, chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nbytes\r\n0\r\n\r\n",
	"blank in a name":              "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX Note: 1\r\n\r\nbytes",
	"control byte in a name":       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-\x01Note: 1\r\n\r\nbytes",
}

func TestMalformedHeadIsNoServiceResponse(t *testing.T) {
	for name, sent := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := rawserver.Start(t, func(c *net.TCPConn, br *bufio.Reader) {
				if _, err := http.ReadRequest(br); err == nil {
					io.WriteString(c, sent)
				}
			})
			client := engine.New(engine.DefaultTimeouts, nil)
			resp, err := client.CallService(t.Context(), address, serviceCall("r", nil))
			t.Logf("%+v, %v", resp, err)
			is.True(err != nil)
			is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
			_, err = client.Chat(t.Context(), address, request("r1"), func(*engine.Message) error { return nil })
			is.True(err != nil)
			is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
		})
	}
}

// Incident: a faulty server wrote an earlier refusal once more on a kept connection, and it was taken for the response to the next
// request.
func TestEarlierServiceResponseOnAKeptConnectionIsNoResponse(t *testing.T) {
	const (
		refusal = "HTTP/1.1 503 Service Unavailable\r\n%sContent-Length: 4\r\n\r\nbusy"
		success = "HTTP/1.1 200 OK\r\n%sContent-Length: 3\r\n\r\nran"
	)
	idLine := func(id string) string { return "X-Request-Id: " + id + "\r\n" }
	for _, service := range []struct {
		name                      string
		repeatsID, repeatsIDTwice bool
	}{
		{"repeats ids", true, true}, {"repeats ids but not in the copy", true, false}, {"repeats no ids", false, false},
	} {
		t.Run(service.name, func(t *testing.T) {
			is := is.New(t)
			var ran sync.Map
			// The first request on a connection is refused; when the next one runs, the refusal is sent once more.
			address := rawserver.Start(t, func(c *net.TCPConn, br *bufio.Reader) {
				refused := ""
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					id := r.Header.Get("X-Request-Id")
					line, earlier := "", ""
					if service.repeatsID {
						line = idLine(id)
					}
					if service.repeatsIDTwice {
						earlier = idLine(refused)
					}
					if refused == "" {
						refused = id
						fmt.Fprintf(c, refusal, line)
						continue
					}
					ran.Store(id, true)
					fmt.Fprintf(c, refusal, earlier)
					fmt.Fprintf(c, success, line)
				}
			})
			client := engine.New(engine.DefaultTimeouts, nil)
			for i := range 8 {
				id := fmt.Sprint("r", i)
				resp, err := client.CallService(t.Context(), address, serviceCall(id, nil))
				if err != nil {
					is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
					continue
				}
				_, hasRun := ran.Load(id)
				is.Equal(resp.Status == http.StatusOK, hasRun)
			}
		})
	}
}

// Incident: a server stopped in the middle of its response's head and closed the connection, and clients got a success with an empty
// or a short body.
func TestHeadThatBreaksOffIsNoServiceResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 50\r\n\r\n"
	for _, bodyBytes := range []int{0, 1 << 20} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("reset: %v, request of %d bytes", reset, bodyBytes), func(t *testing.T) {
				is := is.New(t)
				sizes := make(chan int, 1)
				address := rawserver.Start(t, func(c *net.TCPConn, br *bufio.Reader) {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					io.WriteString(c, head[:<-sizes])
					if reset {
						c.SetLinger(0)
					}
				})
				client := engine.New(engine.DefaultTimeouts, nil)
				for size := range len(head) {
					sizes <- size
					_, err := client.CallService(t.Context(), address, serviceCall("r", make([]byte, bodyBytes)))
					is.True(err != nil)
					is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
				}
			})
		}
	}
}
