package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/backendpath"
	"github.com/berylpond/berylpond/internal/verdict"
)

// startServer runs script for each connection; n is the number of the connection.
func startServer(t *testing.T, script func(n int, c net.Conn, br *bufio.Reader)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				script(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

func readRequest(br *bufio.Reader) (string, bool) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return "", false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.Header.Get("Request-Id"), err == nil
}

// directPath never loses the way to the servers.
type directPath struct{}

func (directPath) Dial(ctx context.Context, address string) (net.Conn, error) {
	return Dial(ctx, address)
}

func (directPath) LostSince() time.Time { return time.Time{} }

func (directPath) Suspect(string, time.Time) {}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) Request {
	return Request{ID: id, Method: http.MethodPost, Target: "/x", Host: "h", Header: func() http.Header { return http.Header{"Request-Id": {id}} }, Body: []byte("b")}
}

func get(t *testing.T, p *Pool, address, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, address, request(id))
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(resp.Body)
	resp.Close(err == nil)
	return string(b), err
}

func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	p := NewPool(directPath{})
	address := startServer(t, func(n int, c net.Conn, br *bufio.Reader) {
		for {
			id, more := readRequest(br)
			if !more {
				return
			}
			fmt.Fprint(c, okResponse(id, fmt.Sprint(n)))
		}
	})
	for i := range 3 {
		body, err := get(t, p, address, fmt.Sprint("r", i))
		is.NoErr(err)
		is.Equal(body, "0")
	}
}

func TestMismatchedResponseIsSkipped(t *testing.T) {
	is := is.New(t)
	p := NewPool(directPath{})
	address := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		id, _ := readRequest(br)
		fmt.Fprint(c, okResponse("another", "not yours"), okResponse(id, "yours"))
	})
	body, err := get(t, p, address, "r1")
	is.NoErr(err)
	is.Equal(body, "yours")
}

func TestAnnouncementOnASkippedResponseCounts(t *testing.T) {
	is := is.New(t)
	const notIntended = "HTTP/1.1 421 Misdirected Request\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
	leaving := "HTTP/1.1 200 OK\r\nRequest-Id: late\r\nResponse-Stamp: s\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
	for _, tc := range []struct {
		script string
		want   bool
	}{
		{okResponse("r1", ""), false}, {leaving + okResponse("r1", ""), true}, {notIntended, false}, {leaving + notIntended, false},
	} {
		address := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
			readRequest(br)
			fmt.Fprint(c, tc.script)
		})
		resp, err := NewPool(directPath{}).Do(t.Context(), address, request("r1"))
		is.NoErr(err)
		is.Equal(resp.Leaving, tc.want)
		resp.Close(true)
	}
}

func TestConnectionWithTrailingBytesIsNotReused(t *testing.T) {
	is := is.New(t)
	p := NewPool(directPath{})
	address := startServer(t, func(n int, c net.Conn, br *bufio.Reader) {
		for {
			id, more := readRequest(br)
			if !more {
				return
			}
			fmt.Fprint(c, okResponse(id, fmt.Sprint(n)))
			if n == 0 {
				time.Sleep(20 * time.Millisecond)
				fmt.Fprint(c, okResponse(id, "once more"))
			}
		}
	})
	_, err := get(t, p, address, "r1")
	is.NoErr(err)
	time.Sleep(60 * time.Millisecond)
	body, err := get(t, p, address, "r2")
	is.NoErr(err)
	is.Equal(body, "1")
}

func TestConnectionClosedByServerIsNotReused(t *testing.T) {
	is := is.New(t)
	p := NewPool(directPath{})
	address := startServer(t, func(n int, c net.Conn, br *bufio.Reader) {
		id, _ := readRequest(br)
		fmt.Fprint(c, okResponse(id, fmt.Sprint(n)))
	})
	_, err := get(t, p, address, "r1")
	is.NoErr(err)
	time.Sleep(30 * time.Millisecond)
	body, err := get(t, p, address, "r2")
	is.NoErr(err)
	is.Equal(body, "1")
}

func TestConnectionIsNotReusedAfterEarlyResponse(t *testing.T) {
	is := is.New(t)
	p := NewPool(directPath{})
	address := startServer(t, func(n int, c net.Conn, br *bufio.Reader) {
		if n == 0 {
			r, err := http.ReadRequest(br)
			if err == nil {
				fmt.Fprint(c, okResponse(r.Header.Get("Request-Id"), "early"))
				time.Sleep(time.Second)
			}
			return
		}
		id, _ := readRequest(br)
		fmt.Fprint(c, okResponse(id, "second"))
	})
	r := request("r1")
	r.Body = make([]byte, 32<<20)
	resp, err := p.Do(t.Context(), address, r)
	is.NoErr(err)
	b, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(b), "early")
	resp.Close(true)
	body, err := get(t, p, address, "r2")
	is.NoErr(err)
	is.Equal(body, "second")
}

func TestErrorVerdicts(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := closed.Addr().String()
	closed.Close()
	for name, c := range map[string]struct {
		address string
		want    verdict.Verdict
	}{
		"no connection": {refused, verdict.NotRun},
		"closed after the request": {startServer(t, func(_ int, _ net.Conn, br *bufio.Reader) { readRequest(br) }),
			verdict.MayHaveRun},
		"response is not HTTP": {startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
			readRequest(br)
			fmt.Fprint(c, "garbage\r\n\r\n")
		}), verdict.MayHaveRun},
		"no response": {startServer(t, func(_ int, _ net.Conn, br *bufio.Reader) {
			readRequest(br)
			time.Sleep(5 * time.Second)
		}), verdict.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			_, err := NewPool(directPath{}).Do(ctx, c.address, request("r1"))
			var ue *Error
			is.True(errors.As(err, &ue))
			is.Equal(ue.Verdict, c.want)
		})
	}
}

func TestTruncatedBodyIsError(t *testing.T) {
	is := is.New(t)
	for _, head := range []string{"Content-Length: 100\r\n\r\nshort", "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"} {
		address := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
			id, _ := readRequest(br)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s", id, head)
		})
		_, err := get(t, NewPool(directPath{}), address, "r1")
		is.True(err != nil)
	}
}

func TestRequestTargetIsWrittenUnchanged(t *testing.T) {
	is := is.New(t)
	got := make(chan string, 1)
	address := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		b := make([]byte, 4096)
		n, _ := br.Read(b)
		got <- string(b[:n])
		fmt.Fprint(c, okResponse("r1", ""))
	})
	r := request("r1")
	r.Target = "/a//b/../c?x=%20&y"
	_, err := NewPool(directPath{}).Do(t.Context(), address, r)
	is.NoErr(err)
	text := <-got
	is.True(strings.HasPrefix(text, "POST /a//b/../c?x=%20&y HTTP/1.1\r\nHost: h\r\n"))
	is.True(strings.HasSuffix(text, "Content-Length: 1\r\n\r\nb"))
}

// Guards against a server in trouble that sends a head without end filling the memory.
func TestHeadWithoutEndIsGivenUpEarly(t *testing.T) {
	for name, piece := range map[string]string{
		"one line":     strings.Repeat("x", 4096),
		"many lines":   "X-Filler: " + strings.Repeat("x", 4000) + "\r\n",
		"many interim": "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 4000) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(directPath{})
			var sent atomic.Int64
			closed := make(chan struct{})
			address := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
				defer close(closed)
				readRequest(br)
				if name != "many interim" {
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX-First: ")
				}
				for {
					n, err := io.WriteString(c, piece)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			start := time.Now()
			_, err := get(t, p, address, "r1")
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.Verdict, verdict.MayHaveRun)
			is.True(time.Since(start) < time.Second) // it does not wait for the deadline
			<-closed
			t.Logf("the server could send %d bytes", sent.Load())
			is.True(sent.Load() < 32<<20) // what the sockets hold and what is read
		})
	}
}

// suspectingPath records the suspicions that it is told of.
type suspectingPath struct {
	directPath
	suspected chan string
}

func (p suspectingPath) Suspect(address string, _ time.Time) { p.suspected <- address }

func TestSilenceIsSuspiciousOnlyIfNoServerResponds(t *testing.T) {
	is := is.New(t)
	path := suspectingPath{suspected: make(chan string, 10)}
	p := NewPool(path)
	slow := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			id, ok := readRequest(br)
			if !ok {
				return
			}
			time.Sleep(suspiciousSilence * 3 / 2)
			fmt.Fprint(c, okResponse(id, "late"))
		}
	})
	body, err := get(t, p, slow, "r1")
	is.NoErr(err) // it is not ended by the suspicion
	is.Equal(body, "late")
	is.Equal(<-path.suspected, slow)

	quick := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		id, _ := readRequest(br)
		fmt.Fprint(c, okResponse(id, "quick"))
	})
	go func() {
		time.Sleep(suspiciousSilence / 4)
		get(t, p, quick, "r2")
	}()
	_, err = get(t, p, slow, "r3")
	is.NoErr(err)
	is.Equal(len(path.suspected), 0)
}

// lostPath has no way to any server.
type lostPath struct{ directPath }

func (lostPath) Dial(context.Context, string) (net.Conn, error) { return nil, backendpath.ErrLost }

// Guards against the loss of the own way being charged to the servers.
func TestLostPathIsNotTheServersFault(t *testing.T) {
	is := is.New(t)
	_, err := NewPool(lostPath{}).Do(t.Context(), "127.0.0.1:1", request("r1"))
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Verdict, verdict.NotRun)
	is.True(e.PathLost)
	_, err = NewPool(directPath{}).Do(t.Context(), "127.0.0.1:1", request("r2"))
	is.True(errors.As(err, &e))
	is.True(!e.PathLost)
}

// Guards against a request going to a server that became forbidden while the connection was opened, or that was picked for an
// open connection.
func TestRequestIsNotSentIfTheCheckFails(t *testing.T) {
	is := is.New(t)
	requests := make(chan string, 4)
	address := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			id, ok := readRequest(br)
			if !ok {
				return
			}
			requests <- id
			fmt.Fprint(c, okResponse(id, ""))
		}
	})
	p := NewPool(directPath{})
	_, err := get(t, p, address, "r1")
	is.NoErr(err)
	for range 2 { // the open connection, then a new one
		forbidden := errors.New("forbidden")
		r := request("r2")
		r.Check = func() error { return forbidden }
		_, err = p.Do(t.Context(), address, r)
		var ue *Error
		is.True(errors.As(err, &ue))
		is.Equal(ue.Verdict, verdict.NotRun)
		is.True(errors.Is(err, forbidden))
	}
	_, err = get(t, p, address, "r3")
	is.NoErr(err)
	is.Equal(<-requests, "r1")
	is.Equal(<-requests, "r3")
}

// Load pattern: servers so slow that streams are cut at their deadline. That is no failure of the server, and a caller can tell
// by its context.
func TestContextHasEndedWhenItsDeadlineCutsAResponse(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		id, ok := readRequest(br)
		if !ok {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nContent-Length: 100\r\n\r\npart")
		io.Copy(io.Discard, c)
	})
	p := NewPool(directPath{})
	var wg sync.WaitGroup
	var early atomic.Int32
	for i := range 64 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			resp, err := p.Do(ctx, address, request(fmt.Sprint("r", i)))
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				defer resp.Close(false)
			}
			if err == nil || ctx.Err() == nil {
				early.Add(1)
			}
		})
	}
	wg.Wait()
	is.Equal(early.Load(), int32(0))
}

// Incident: a success without a length whose connection was reset while the upload was being written. The write was told of the
// reset, and the read saw an orderly end.
func TestResetThatTheUploadWasToldOfIsNoEndOfABody(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\n\r\n"+strings.Repeat("x", 20_000))
		c.(*net.TCPConn).SetLinger(0)
	})
	r := request("r1")
	r.Body = make([]byte, 32<<20)
	resp, err := NewPool(directPath{}).Do(t.Context(), address, r)
	is.NoErr(err)
	is.True(errors.Is(<-resp.written, syscall.ECONNRESET))
	_, err = io.ReadAll(resp.Body)
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// malformedHeads are heads of responses to the request r1 that are none in HTTP. net/http's parser takes them, or skips them.
var malformedHeads = map[string]string{
	"status 000":                       "HTTP/1.1 000 Trouble\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\nContent-Length: 5\r\n\r\nbytes",
	"status 000, no body":              "HTTP/1.1 000 Trouble\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n\r\n",
	"status 000, a response as body":   "HTTP/1.1 000 Trouble\r\nRequest-Id: r1\r\nContent-Length: 79\r\n\r\n" + okResponse("r1", "forged"),
	"status 099":                       "HTTP/1.1 099 Trouble\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\nContent-Length: 5\r\n\r\nbytes",
	"status +99":                       "HTTP/1.1 +99 Trouble\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\nContent-Length: 5\r\n\r\nbytes",
	"status 000 after an interim head": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Trouble\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n" + okResponse("r1", "forged"),
	"blank before a colon, length":     "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\nContent-Length : 5\r\n\r\nbytes",
	"blank before a colon, chunks":     "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nbytes\r\n0\r\n\r\n",
	"blank in a name":                  "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\nContent-Length: 5\r\nX Note: 1\r\n\r\nbytes",
	"blank in a name, interim head":    "HTTP/1.1 103 Early Hints\r\nX Note: 1\r\n\r\n" + okResponse("r1", "bytes"),
	"blank before the first name":      "HTTP/1.1 200 OK\r\n Request-Id: r1\r\nResponse-Stamp: s\r\nContent-Length: 5\r\n\r\nbytes",
	"blank before a name":              "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\nContent-Length: 5\r\n X-Note: 1\r\n\r\nbytes",
	"blank before a name, length":      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\n Content-Length: 5\r\n\r\nbytes",
	"blank before a name, late":        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\nX: " + strings.Repeat("x", 2*readBufferBytes) + "\r\n\tX-Note: 1\r\nContent-Length: 5\r\n\r\nbytes",
	"tab before a colon":               "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\nContent-Length\t: 5\r\n\r\nbytes",
	"control byte in a name":           "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\nContent-Length: 5\r\nX-\x01Note: 1\r\n\r\nbytes",
	"carriage return in a name":        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\nX\rContent-Length: 5\r\n\r\nbytes",
	"zero byte before a name":          "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\n\x00Content-Length: 5\r\n\r\nbytes",
	"no name":                          "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\n: 5\r\nContent-Length: 5\r\n\r\nbytes",
}

func TestMalformedHeadIsNoResponse(t *testing.T) {
	for name, sent := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
				readRequest(br)
				io.WriteString(c, sent)
				c.Read(make([]byte, 1)) // until the other side closes the connection
			})
			body, err := get(t, NewPool(directPath{}), address, "r1")
			t.Logf("%q, %v", body, err)
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.Verdict, verdict.MayHaveRun)
			is.True(!errors.Is(err, context.DeadlineExceeded)) // it is known at once
		})
	}
}

// refusals are responses with which a server says that it did not run a request; %s stands for the lines of the id.
var refusals = map[string]string{
	"503":            "HTTP/1.1 503 Service Unavailable\r\n%sNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"503, no reason": "HTTP/1.1 503 Service Unavailable\r\n%sContent-Length: 0\r\n\r\n",
	"429":            "HTTP/1.1 429 Too Many Requests\r\n%sNot-Run: 1\r\nRetry-After: 1\r\nContent-Length: 4\r\n\r\nbusy",
	"421":            "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n",
}

// Incident: a faulty server wrote an earlier refusal once more on a kept connection, and clients were told that requests had not
// run which had.
func TestEarlierRefusalOnAKeptConnectionIsSkipped(t *testing.T) {
	for name, refusal := range refusals {
		for _, earlierID := range []string{"Request-Id: r1\r\n", ""} {
			t.Run(fmt.Sprintf("%s, id %q", name, earlierID), func(t *testing.T) {
				is := is.New(t)
				address := startServer(t, func(n int, c net.Conn, br *bufio.Reader) {
					readRequest(br)
					fmt.Fprintf(c, refusal, "Request-Id: r1\r\n")
					id, more := readRequest(br)
					if !more {
						return
					}
					fmt.Fprintf(c, refusal, earlierID)
					io.WriteString(c, okResponse(id, "has run"))
				})
				p := NewPool(directPath{})
				_, err := get(t, p, address, "r1")
				is.NoErr(err)
				resp, err := p.Do(t.Context(), address, request("r2"))
				is.NoErr(err)
				is.Equal(resp.Status, http.StatusOK)
				is.True(!resp.NotRun)
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.Equal(string(body), "has run")
			})
		}
	}
}

// A response without an id on a new connection can be to no other request.
func TestRefusalWithoutAnIDOnANewConnectionIsTheResponse(t *testing.T) {
	for name, refusal := range refusals {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
				readRequest(br)
				fmt.Fprintf(c, refusal, "")
			})
			resp, err := NewPool(directPath{}).Do(t.Context(), address, request("r1"))
			is.NoErr(err)
			is.True(resp.Status != http.StatusOK)
		})
	}
}

// Guards against a server that puts no ids on its refusals and sends one of them once more.
func TestConnectionIsNotKeptAfterAResponseWithoutAnID(t *testing.T) {
	for name, refusal := range refusals {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := startServer(t, func(n int, c net.Conn, br *bufio.Reader) {
				for refused := false; ; refused = true {
					id, more := readRequest(br)
					if !more {
						return
					}
					if n == 0 {
						fmt.Fprintf(c, refusal, "")
					}
					if n > 0 || refused {
						io.WriteString(c, okResponse(id, fmt.Sprint(n)))
					}
				}
			})
			p := NewPool(directPath{})
			_, err := get(t, p, address, "r1")
			is.NoErr(err)
			for _, id := range []string{"r2", "r3"} {
				body, err := get(t, p, address, id)
				is.NoErr(err)
				is.Equal(body, "1")
			}
		})
	}
}

// The response to a request without an id can't be told from an earlier one without an id.
func TestRequestWithoutAnIDIsSentOnANewConnection(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(n int, c net.Conn, br *bufio.Reader) {
		for {
			if _, more := readRequest(br); !more {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n)
		}
	})
	p := NewPool(directPath{})
	for n := range 3 {
		body, err := get(t, p, address, "")
		is.NoErr(err)
		is.Equal(body, fmt.Sprint(n))
	}
}

// Incident: a server stopped in the middle of its response's head and closed the connection, and clients got a success with an empty
// or a short body.
func TestHeadThatBreaksOffIsNoResponse(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	for name, head := range map[string]string{
		"with its length": "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\nContent-Length: 50\r\n\r\n",
		"in chunks":       "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"no length":       "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nRequest-Id: r1\r\nX-Last: \r\n\r\n",
		"line feeds":      "HTTP/1.1 200 OK\nRequest-Id: r1\nResponse-Stamp: s\nContent-Length: 50\n\n",
		"after interim":   interim + "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\nContent-Length: 50\r\n\r\n",
		"longer than the buffer": "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", readBufferBytes-40) +
			"\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\nContent-Length: 50\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			for _, bodyBytes := range []int{1, inlineBodyBytes + 1} {
				t.Run(fmt.Sprintf("%s, reset: %v, request of %d bytes", name, reset, bodyBytes), func(t *testing.T) {
					is := is.New(t)
					sizes := make(chan int, 1)
					address := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
						readRequest(br)
						io.WriteString(c, head[:<-sizes])
						if reset {
							c.(*net.TCPConn).SetLinger(0)
						}
					})
					p := NewPool(directPath{})
					for size := max(0, len(head)-200); size < len(head); size++ {
						sizes <- size
						r := request("r1")
						r.Body = make([]byte, bodyBytes)
						_, err := p.Do(t.Context(), address, r)
						var e *Error
						is.True(errors.As(err, &e))
						is.Equal(e.Verdict, verdict.MayHaveRun)
					}
				})
			}
		}
	}
}
